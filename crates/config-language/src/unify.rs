//! Unification: combines two values into one that satisfies the constraints of both. Errors are reported at the position
//! of the second value, which is the more specific one.

use crate::ast::{Comparison, Field};
use crate::bounds::{compare, is_within};
use crate::describe::{describe_expected, describe_literal};
use crate::error::ConfigError;
use crate::literal::Literal;
use crate::similar_name::similar_name;
use crate::span::Span;
use crate::value::{Shape, Slot, Value};
use crate::value_type::ValueType;

/// Combines two values. Reports errors and returns an invalid value if they contradict each other.
pub fn unify(a: &Value, b: &Value, errors: &mut Vec<ConfigError>) -> Value {
    if a.is_invalid() || b.is_invalid() {
        return Value::invalid(b.span.clone());
    }
    match (&a.shape, &b.shape) {
        (Shape::Any, _) => b.clone(),
        (_, Shape::Any) => Value::new(b.span.clone(), a.shape.clone()),
        (Shape::Or(alternatives), _) => {
            choose(&Choice { alternatives, other: b, other_first: false, span: &b.span }, errors)
        }
        (_, Shape::Or(alternatives)) => {
            choose(&Choice { alternatives, other: a, other_first: true, span: &a.span }, errors)
        }
        (Shape::Literal(x), Shape::Literal(y)) if compare(x, y).is_some_and(|order| order.is_eq()) => {
            b.clone()
        }
        (Shape::Limited(value_type, bounds), Shape::Literal(literal)) => {
            limit_literal(*value_type, bounds, literal, a, &b.span, errors)
        }
        (Shape::Literal(literal), Shape::Limited(value_type, bounds)) => {
            limit_literal(*value_type, bounds, literal, b, &b.span, errors)
        }
        (Shape::Limited(..), Shape::Limited(..)) => unify_limits(a, b, errors),
        (Shape::Struct { .. }, Shape::Struct { .. }) => unify_structs(a, b, errors),
        (Shape::List(..), Shape::List(..)) => unify_lists(a, b, errors),
        _ => contradiction(a, b, errors),
    }
}

fn contradiction(a: &Value, b: &Value, errors: &mut Vec<ConfigError>) -> Value {
    let message = format!("{} does not fit", describe_expected(b));
    errors.push(ConfigError::new(b.span.clone(), message, describe_expected(a)));
    Value::invalid(b.span.clone())
}

/// Checks a literal against a type and bounds; `limit` is the value that requires them.
fn limit_literal(
    value_type: Option<ValueType>,
    bounds: &[(Comparison, Literal)],
    literal: &Literal,
    limit: &Value,
    span: &Span,
    errors: &mut Vec<ConfigError>,
) -> Value {
    let has_type = value_type.is_none_or(|value_type| value_type.includes(literal));
    if has_type && bounds.iter().all(|bound| is_within(literal, bound)) {
        return Value::new(span.clone(), Shape::Literal(literal.clone()));
    }
    let shown = describe_literal(literal);
    let message = if has_type {
        format!("{shown} is out of bounds")
    } else {
        format!("{shown} is of type {}", ValueType::of(literal).map_or("null", ValueType::name))
    };
    errors.push(ConfigError::new(span.clone(), message, describe_expected(limit)));
    Value::invalid(span.clone())
}

fn unify_limits(a: &Value, b: &Value, errors: &mut Vec<ConfigError>) -> Value {
    let (Shape::Limited(a_type, a_bounds), Shape::Limited(b_type, b_bounds)) = (&a.shape, &b.shape) else {
        return contradiction(a, b, errors);
    };
    let value_type = match (a_type, b_type) {
        (Some(a_type), Some(b_type)) => match a_type.narrower(*b_type) {
            Some(narrower) => Some(narrower),
            None => return contradiction(a, b, errors),
        },
        (a_type, b_type) => a_type.or(*b_type),
    };
    let bounds: Vec<_> = a_bounds.iter().chain(b_bounds).cloned().collect();
    let is_foreign = |bound: &Literal| value_type.is_some_and(|value_type| !value_type.accepts_bound(bound));
    if bounds.iter().any(|(_, bound)| is_foreign(bound)) {
        return contradiction(a, b, errors);
    }
    Value::new(b.span.clone(), Shape::Limited(value_type, bounds))
}

/// Alternatives, and a value that must fit one of them.
struct Choice<'a> {
    alternatives: &'a [(bool, Value)],
    other: &'a Value,
    /// Whether the other value comes first in the unification.
    other_first: bool,
    /// Position of the result.
    span: &'a Span,
}

impl Choice<'_> {
    fn unify(&self, alternative: &Value, errors: &mut Vec<ConfigError>) -> Value {
        if self.other_first {
            unify(self.other, alternative, errors)
        } else {
            unify(alternative, self.other, errors)
        }
    }

    /// Returns the only alternative that is no literal, if the others include a default. An example is the bound in
    /// `>0 | *1`.
    fn bound_beside_default(&self) -> Option<&Value> {
        let mut open = self.alternatives.iter().filter(|(_, v)| !matches!(v.shape, Shape::Literal(_)));
        let (_, bound) = open.next()?;
        let has_default = self.alternatives.iter().any(|(is_default, _)| *is_default);
        (open.next().is_none() && has_default).then_some(bound)
    }

    fn is_among_structs(&self) -> bool {
        let mut values = self.alternatives.iter().map(|(_, alternative)| alternative).chain([self.other]);
        values.all(|value| matches!(value.shape, Shape::Struct { .. }))
    }
}

/// Keeps the alternatives that fit the other value. If none of several structs fits, reports the errors of the one with
/// the fewest.
fn choose(choice: &Choice, errors: &mut Vec<ConfigError>) -> Value {
    let mut fitting: Vec<(bool, Value)> = vec![];
    let mut fewest_errors: Option<Vec<ConfigError>> = None;
    for (is_default, alternative) in choice.alternatives {
        let mut found = Vec::new();
        let unified = choice.unify(alternative, &mut found);
        if found.is_empty() {
            fitting.push((*is_default, unified));
        } else if fewest_errors.as_ref().is_none_or(|fewest| found.len() < fewest.len()) {
            fewest_errors = Some(found);
        }
    }
    let span = choice.span.clone();
    if fitting.len() == 1 {
        let (_, only) = fitting.remove(0);
        return Value::new(span, only.shape);
    }
    if !fitting.is_empty() {
        return Value::new(span, Shape::Or(fitting));
    }
    if let Some(bound) = choice.bound_beside_default() {
        // The error of the bound alone is the clearest explanation.
        choice.unify(bound, errors);
    } else if choice.is_among_structs() {
        errors.extend(fewest_errors.unwrap_or_default());
    } else {
        let all = Value::new(span.clone(), Shape::Or(choice.alternatives.to_vec()));
        let message = format!("{} does not fit", describe_expected(choice.other));
        errors.push(ConfigError::new(span.clone(), message, describe_expected(&all)));
    }
    Value::invalid(span)
}

fn unify_structs(a: &Value, b: &Value, errors: &mut Vec<ConfigError>) -> Value {
    let (
        Shape::Struct { fields: a_fields, is_closed: a_closed },
        Shape::Struct { fields: b_fields, is_closed: b_closed },
    ) = (&a.shape, &b.shape)
    else {
        return contradiction(a, b, errors);
    };
    if *a_closed {
        report_unknown_fields(a_fields, b_fields, &b.span, errors);
    }
    if *b_closed {
        report_unknown_fields(b_fields, a_fields, &b.span, errors);
    }
    let mut fields = a_fields.clone();
    for (name, slot) in b_fields {
        let Some((_, known)) = fields.iter_mut().find(|(known, _)| known == name) else {
            fields.push((name.clone(), slot.clone()));
            continue;
        };
        known.is_optional &= slot.is_optional;
        known.value = unify(&known.value, &slot.value, errors);
    }
    Value::new(b.span.clone(), Shape::Struct { fields, is_closed: *a_closed || *b_closed })
}

/// Reports each given field that a closed struct does not have.
fn report_unknown_fields(
    known: &[(String, Slot)],
    given: &[(String, Slot)],
    struct_span: &Span,
    errors: &mut Vec<ConfigError>,
) {
    let known: Vec<String> = known.iter().map(|(name, _)| name.clone()).collect();
    for (name, slot) in given {
        if Field::is_hidden(name) || known.contains(name) {
            continue;
        }
        let hint = similar_name(name, &known);
        let hint = hint.map_or(String::new(), |similar| format!("; did you mean {similar}?"));
        let message = format!("unknown field {name}{hint}");
        let visible: Vec<_> = known.iter().filter(|known| !Field::is_hidden(known)).cloned().collect();
        let expected = format!("one of {}", visible.join(", "));
        // Values from the program's definitions have no position in the file.
        let span = if slot.value.span.end > 0 { &slot.value.span } else { struct_span };
        errors.push(ConfigError::new(span.clone(), message, expected));
    }
}

fn unify_lists(a: &Value, b: &Value, errors: &mut Vec<ConfigError>) -> Value {
    let (Shape::List(a_items, a_rest), Shape::List(b_items, b_rest)) = (&a.shape, &b.shape) else {
        return contradiction(a, b, errors);
    };
    let mut items = Vec::new();
    for index in 0..a_items.len().max(b_items.len()) {
        let a_item = a_items.get(index).or(a_rest.as_deref());
        let b_item = b_items.get(index).or(b_rest.as_deref());
        let (Some(a_item), Some(b_item)) = (a_item, b_item) else {
            let limit = if a_item.is_none() { "at most" } else { "at least" };
            let message = format!("the list has {} elements", b_items.len());
            let expected = format!("{limit} {}", a_items.len());
            errors.push(ConfigError::new(b.span.clone(), message, expected));
            break;
        };
        items.push(unify(a_item, b_item, errors));
    }
    let rest = match (a_rest, b_rest) {
        (Some(a_rest), Some(b_rest)) => Some(Box::new(unify(a_rest, b_rest, errors))),
        _ => None,
    };
    Value::new(b.span.clone(), Shape::List(items, rest))
}
