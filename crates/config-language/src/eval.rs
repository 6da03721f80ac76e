//! Expressions to values: names are looked up in the struct around them, then further out, then among the
//! program's definitions. A definition (`#Name`) is closed: it takes no fields that it does not name.

use std::collections::BTreeMap;

use crate::lex::Literal;
use crate::problem::Problem;
use crate::syntax::{Expr, Field, Span, What};
use crate::value::{unify, Kind, Shape, Slot, Value};

/// The definition that every file as a whole must fit.
const FILE: &str = "#File";

/// Values that one file may name, each counted with all that it holds, so that a few lines that name each
/// other many times over end in an error and not in hours.
const STEPS: u32 = 100_000;

pub fn evaluate(schema: &[Field], file: &[Field]) -> Result<Value, Vec<Problem>> {
    let form = form(schema)?;
    let mut eval = Eval { problems: vec![], under_way: vec![], steps: 0, known: BTreeMap::new() };
    let root = Scope { fields: schema, outer: None, schema: true };
    let scope = Scope { fields: file, outer: Some(&root), schema: false };
    let whole = eval.fields(file, &scope, 0..0, false);
    let value = unify(&form, &whole, &mut eval.problems);
    if eval.problems.is_empty() {
        Ok(value)
    } else {
        Err(eval.problems)
    }
}

/// What a whole file must be.
pub fn form(schema: &[Field]) -> Result<Value, Vec<Problem>> {
    let mut eval = Eval { problems: vec![], under_way: vec![], steps: 0, known: BTreeMap::new() };
    let root = Scope { fields: schema, outer: None, schema: true };
    let Some(form) = schema.iter().find(|f| f.name == FILE) else {
        return Err(vec![Problem::new(0..0, "the program's definitions lack #File", "")]);
    };
    let value = eval.expr(&form.value, &root, true);
    if eval.problems.is_empty() {
        Ok(value)
    } else {
        Err(eval.problems)
    }
}

struct Scope<'a> {
    fields: &'a [Field],
    outer: Option<&'a Scope<'a>>,
    /// What stands in the program's definitions has no place in the file.
    schema: bool,
}

struct Eval {
    problems: Vec<Problem>,
    /// Fields being looked up, by their address, to find circles.
    under_way: Vec<*const Field>,
    steps: u32,
    /// Values of fields that were looked up.
    known: BTreeMap<*const Field, Value>,
}

impl Eval {
    fn expr(&mut self, expr: &Expr, scope: &Scope, closed: bool) -> Value {
        let span = if scope.schema { 0..0 } else { expr.span.clone() };
        match &expr.what {
            What::Literal(literal) => Value::new(span, Shape::Literal(literal.clone())),
            What::Bound(op, literal) => {
                let kind = match literal {
                    Literal::Int(_) | Literal::Float(_) => Some(Kind::Number),
                    Literal::Duration(_) => Some(Kind::Duration),
                    Literal::Size(_) => Some(Kind::Size),
                    Literal::Text(_) => Some(Kind::Text),
                    Literal::Null | Literal::Bool(_) => None,
                };
                Value::new(span, Shape::Limited(kind, vec![(*op, literal.clone())]))
            }
            What::Struct(fields) => {
                let inner = Scope { fields, outer: Some(scope), schema: scope.schema };
                self.fields(fields, &inner, span, closed)
            }
            What::List(items, rest) => {
                let items = items.iter().map(|i| self.expr(i, scope, closed)).collect();
                let rest = rest.as_ref().map(|r| Box::new(self.expr(r, scope, closed)));
                Value::new(span, Shape::List(items, rest))
            }
            What::Name(names) => self.name(names, scope, span),
            What::And(parts) => {
                let mut made = Value::new(span.clone(), Shape::Any);
                for part in parts {
                    let value = self.expr(part, scope, closed);
                    made = unify(&made, &value, &mut self.problems);
                }
                Value::new(span, made.what)
            }
            What::Or(parts) => {
                let parts = parts.iter().map(|(d, p)| (*d, self.expr(p, scope, closed)));
                Value::new(span, Shape::Or(parts.collect()))
            }
        }
    }

    fn fields(&mut self, fields: &[Field], scope: &Scope, span: Span, closed: bool) -> Value {
        let mut made: Vec<(String, Slot)> = Vec::new();
        for field in fields {
            let mut value = self.look_up(field, scope);
            if matches!(value.what, Shape::Bad) && !scope.schema {
                value.span = field.span.clone();
            }
            match made.iter_mut().find(|(name, _)| *name == field.name) {
                Some((_, slot)) => {
                    slot.optional &= field.optional;
                    slot.value = unify(&slot.value, &value, &mut self.problems);
                }
                None => made.push((field.name.clone(), Slot { optional: field.optional, value })),
            }
        }
        Value::new(span, Shape::Struct { fields: made, closed })
    }

    /// A field's value, found once and then known.
    fn look_up(&mut self, field: &Field, scope: &Scope) -> Value {
        let address: *const Field = field;
        if let Some(value) = self.known.get(&address) {
            self.steps = self.steps.saturating_add(size(value));
            if self.steps <= STEPS {
                return value.clone();
            }
            return self.too_much(field.span.clone());
        }
        self.under_way.push(address);
        let value = self.expr(&field.value, scope, field.name.starts_with('#'));
        self.under_way.pop();
        self.known.insert(address, value.clone());
        value
    }

    fn too_much(&mut self, span: Span) -> Value {
        let what = "the file names its values too many times over";
        if !self.problems.iter().any(|p| p.what == what) {
            self.problems.push(Problem::new(span.clone(), what, format!("at most {STEPS} of them")));
        }
        Value::new(span, Shape::Bad)
    }

    fn name(&mut self, names: &[String], scope: &Scope, span: Span) -> Value {
        let bad = Value::new(span.clone(), Shape::Bad);
        let first = &names[0];
        self.steps = self.steps.saturating_add(1);
        if self.steps > STEPS {
            return self.too_much(span);
        }
        let mut around = Some(scope);
        while let Some(here) = around {
            let found = here.fields.iter().filter(|f| f.name == *first);
            let mut value: Option<Value> = None;
            for field in found {
                let address: *const Field = field;
                if self.under_way.contains(&address) {
                    // A field whose value is its own name means the one further out.
                    continue;
                }
                let one = self.look_up(field, here);
                value = Some(match value {
                    Some(before) => unify(&before, &one, &mut self.problems),
                    None => one,
                });
            }
            if let Some(value) = value {
                let value = Value::new(span.clone(), value.what);
                return self.follow(value, &names[1..], span);
            }
            around = here.outer;
        }
        if let Some(kind) = Kind::named(first).filter(|_| names.len() == 1) {
            return Value::new(span, Shape::Limited(Some(kind), vec![]));
        }
        if first == "_" {
            return Value::new(span, Shape::Any);
        }
        let circle = self.under_way.iter().any(|&f| {
            std::iter::successors(Some(scope), |s| s.outer)
                .flat_map(|s| s.fields)
                .any(|field| std::ptr::eq(field, f) && field.name == *first)
        });
        let what = if circle {
            format!("{first} is named by its own value")
        } else {
            format!("{first} names nothing")
        };
        self.problems.push(Problem::new(span, what, "a field or a definition that is in reach"));
        bad
    }

    fn follow(&mut self, mut value: Value, names: &[String], span: Span) -> Value {
        for name in names {
            let next = match &value.what {
                Shape::Struct { fields, .. } => fields.iter().find(|(n, _)| n == name).map(|(_, s)| s),
                Shape::Bad => return value,
                _ => None,
            };
            let Some(slot) = next else {
                self.problems.push(Problem::new(
                    span.clone(),
                    format!("it has no field {name}"),
                    "its fields",
                ));
                return Value::new(span, Shape::Bad);
            };
            value = Value::new(span.clone(), slot.value.what.clone());
        }
        value
    }
}

/// A value and all that it holds, counted no further than matters.
fn size(value: &Value) -> u32 {
    let sum = |sizes: &mut dyn Iterator<Item = u32>| sizes.fold(1, u32::saturating_add);
    match &value.what {
        Shape::Struct { fields, .. } => sum(&mut fields.iter().map(|(_, slot)| size(&slot.value))),
        Shape::List(items, rest) => sum(&mut items.iter().chain(rest.as_deref()).map(size)),
        Shape::Or(alternatives) => sum(&mut alternatives.iter().map(|(_, v)| size(v))),
        Shape::Any | Shape::Limited(..) | Shape::Literal(_) | Shape::Bad => 1,
    }
}
