//! The order of literals, and bounds on them.

use std::cmp::Ordering;

use crate::ast::Comparison;
use crate::literal::Literal;

/// Compares two literals. Returns `None` if their types have no common order.
pub fn compare(a: &Literal, b: &Literal) -> Option<Ordering> {
    match (a, b) {
        (Literal::Duration(a), Literal::Duration(b)) | (Literal::Size(a), Literal::Size(b)) => Some(a.cmp(b)),
        (Literal::Text(a), Literal::Text(b)) => Some(a.cmp(b)),
        (Literal::Bool(a), Literal::Bool(b)) => Some(a.cmp(b)),
        (Literal::Null, Literal::Null) => Some(Ordering::Equal),
        _ => as_number(a)?.partial_cmp(&as_number(b)?),
    }
}

fn as_number(literal: &Literal) -> Option<f64> {
    match literal {
        Literal::Int(int) => Some(*int as f64),
        Literal::Float(float) => Some(*float),
        _ => None,
    }
}

/// Returns whether a literal satisfies a bound. A literal that can't be compared with it satisfies only "not equal".
pub fn is_within(literal: &Literal, (comparison, bound): &(Comparison, Literal)) -> bool {
    let Some(order) = compare(literal, bound) else { return *comparison == Comparison::NotEqual };
    match comparison {
        Comparison::Greater => order.is_gt(),
        Comparison::GreaterOrEqual => order.is_ge(),
        Comparison::Less => order.is_lt(),
        Comparison::LessOrEqual => order.is_le(),
        Comparison::NotEqual => order.is_ne(),
    }
}
