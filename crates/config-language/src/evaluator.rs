//! Evaluates expressions to values. A name is looked up in the innermost struct around it, then in the enclosing ones,
//! then among the program's definitions. A definition (`#Name`) is closed: it accepts no fields but its own.

use std::collections::BTreeMap;

use crate::ast::{Comparison, Expr, Field, Node};
use crate::error::ConfigError;
use crate::literal::Literal;
use crate::span::Span;
use crate::unify::unify;
use crate::value::{Shape, Slot, Value};
use crate::value_type::ValueType;

/// The definition that every file must satisfy as a whole.
const FILE_DEFINITION: &str = "#File";

/// Limit of values to which the references of one file may lead, each counted with all values that it holds. Without it,
/// a few lines that refer to each other several times would take hours to evaluate.
const MAX_STEPS: u32 = 100_000;

/// Evaluates a file and unifies it with the definitions. Returns all errors if it doesn't fit them.
pub fn evaluate(schema: &[Field], file: &[Field]) -> Result<Value, Vec<ConfigError>> {
    let form = file_form(schema)?;
    let mut evaluator = Evaluator::default();
    let root = Scope { fields: schema, outer: None, is_schema: true };
    let scope = Scope { fields: file, outer: Some(&root), is_schema: false };
    let given = evaluator.fields(file, &scope, 0..0, false);
    let value = unify(&form, &given, &mut evaluator.errors);
    evaluator.finish(value)
}

/// Evaluates the definition that every file must satisfy.
pub fn file_form(schema: &[Field]) -> Result<Value, Vec<ConfigError>> {
    let mut evaluator = Evaluator::default();
    let root = Scope { fields: schema, outer: None, is_schema: true };
    let Some(form) = schema.iter().find(|field| field.name == FILE_DEFINITION) else {
        return Err(vec![ConfigError::new(0..0, "the program's definitions lack #File", "")]);
    };
    let value = evaluator.expr(&form.value, &root, true);
    evaluator.finish(value)
}

/// A set of fields in which names are looked up.
struct Scope<'a> {
    fields: &'a [Field],
    outer: Option<&'a Scope<'a>>,
    /// Whether the fields are the program's definitions, whose values have no position in the file.
    is_schema: bool,
}

impl<'a> Scope<'a> {
    /// Returns this scope and the enclosing ones, innermost first.
    fn outwards(&'a self) -> impl Iterator<Item = &'a Scope<'a>> {
        std::iter::successors(Some(self), |scope| scope.outer)
    }
}

#[derive(Default)]
struct Evaluator {
    errors: Vec<ConfigError>,
    /// Addresses of the fields that are being evaluated, to detect reference cycles.
    in_progress: Vec<*const Field>,
    /// Number of values to which references led so far.
    steps: u32,
    /// Values of the fields that were already evaluated, by their address.
    evaluated: BTreeMap<*const Field, Value>,
}

impl Evaluator {
    fn finish(self, value: Value) -> Result<Value, Vec<ConfigError>> {
        if self.errors.is_empty() {
            Ok(value)
        } else {
            Err(self.errors)
        }
    }

    /// Evaluates an expression; its structs are closed if it belongs to a definition.
    fn expr(&mut self, expr: &Expr, scope: &Scope, is_closed: bool) -> Value {
        let span = if scope.is_schema { 0..0 } else { expr.span.clone() };
        let shape = match &expr.node {
            Node::Literal(literal) => Shape::Literal(literal.clone()),
            Node::Bound(comparison, literal) => bound(*comparison, literal),
            Node::Struct(fields) => {
                let inner = Scope { fields, outer: Some(scope), is_schema: scope.is_schema };
                return self.fields(fields, &inner, span, is_closed);
            }
            Node::List(items, rest) => {
                let items = items.iter().map(|item| self.expr(item, scope, is_closed)).collect();
                let rest = rest.as_ref().map(|rest| Box::new(self.expr(rest, scope, is_closed)));
                Shape::List(items, rest)
            }
            Node::Name(names) => return self.name(names, scope, span),
            Node::And(parts) => {
                let mut unified = Value::new(span.clone(), Shape::Any);
                for part in parts {
                    let value = self.expr(part, scope, is_closed);
                    unified = unify(&unified, &value, &mut self.errors);
                }
                unified.shape
            }
            Node::Or(parts) => {
                let parts =
                    parts.iter().map(|(is_default, part)| (*is_default, self.expr(part, scope, is_closed)));
                Shape::Or(parts.collect())
            }
        };
        Value::new(span, shape)
    }

    fn fields(&mut self, fields: &[Field], scope: &Scope, span: Span, is_closed: bool) -> Value {
        let mut slots: Vec<(String, Slot)> = Vec::new();
        for field in fields {
            let mut value = self.field(field, scope);
            if value.is_invalid() && !scope.is_schema {
                value.span = field.span.clone();
            }
            match slots.iter_mut().find(|(name, _)| *name == field.name) {
                Some((_, slot)) => {
                    slot.is_optional &= field.is_optional;
                    slot.value = unify(&slot.value, &value, &mut self.errors);
                }
                None => {
                    slots.push((field.name.clone(), Slot { is_optional: field.is_optional, value }));
                }
            }
        }
        Value::new(span, Shape::Struct { fields: slots, is_closed })
    }

    /// Returns a field's value, which is evaluated once.
    fn field(&mut self, field: &Field, scope: &Scope) -> Value {
        let address: *const Field = field;
        if let Some(value) = self.evaluated.get(&address) {
            self.steps = self.steps.saturating_add(size(value));
            if self.steps <= MAX_STEPS {
                return value.clone();
            }
            return self.too_many_steps(field.span.clone());
        }
        self.in_progress.push(address);
        let value = self.expr(&field.value, scope, field.name.starts_with('#'));
        self.in_progress.pop();
        self.evaluated.insert(address, value.clone());
        value
    }

    fn too_many_steps(&mut self, span: Span) -> Value {
        let message = "the file refers to its values too many times";
        if !self.errors.iter().any(|error| error.message == message) {
            let expected = format!("at most {MAX_STEPS} of them");
            self.errors.push(ConfigError::new(span.clone(), message, expected));
        }
        Value::invalid(span)
    }

    /// Evaluates a reference: a name, followed by names of nested fields.
    fn name(&mut self, names: &[String], scope: &Scope, span: Span) -> Value {
        let first = &names[0];
        self.steps = self.steps.saturating_add(1);
        if self.steps > MAX_STEPS {
            return self.too_many_steps(span);
        }
        for scope in scope.outwards() {
            if let Some(value) = self.name_in(first, scope) {
                let value = Value::new(span.clone(), value.shape);
                return self.follow(value, &names[1..], span);
            }
        }
        if let Some(value_type) = ValueType::from_name(first).filter(|_| names.len() == 1) {
            return Value::new(span, Shape::Limited(Some(value_type), vec![]));
        }
        if first == "_" {
            return Value::new(span, Shape::Any);
        }
        let message = if self.is_in_progress(first, scope) {
            format!("{first} refers to itself")
        } else {
            format!("{first} is not defined")
        };
        self.errors.push(ConfigError::new(span.clone(), message, "a field or a definition that is in scope"));
        Value::invalid(span)
    }

    /// Returns the unified value of the fields of that name in one scope, or `None` if there are none.
    fn name_in(&mut self, name: &str, scope: &Scope) -> Option<Value> {
        let mut unified: Option<Value> = None;
        for field in scope.fields.iter().filter(|field| field.name == name) {
            let address: *const Field = field;
            if self.in_progress.contains(&address) {
                // In `x: x`, the value refers to the `x` of an enclosing scope.
                continue;
            }
            let value = self.field(field, scope);
            unified = Some(match unified {
                Some(before) => unify(&before, &value, &mut self.errors),
                None => value,
            });
        }
        unified
    }

    /// Returns whether a field of that name in this or an enclosing scope is being evaluated.
    fn is_in_progress(&self, name: &str, scope: &Scope) -> bool {
        let mut fields = scope.outwards().flat_map(|scope| scope.fields);
        fields.any(|field| field.name == name && self.in_progress.contains(&std::ptr::from_ref(field)))
    }

    fn follow(&mut self, mut value: Value, names: &[String], span: Span) -> Value {
        for name in names {
            let slot = match &value.shape {
                Shape::Struct { fields, .. } => fields.iter().find(|(known, _)| known == name),
                Shape::Invalid => return value,
                _ => None,
            };
            let Some((_, slot)) = slot else {
                let message = format!("the value has no field {name}");
                self.errors.push(ConfigError::new(span.clone(), message, "one of its fields"));
                return Value::invalid(span);
            };
            value = Value::new(span.clone(), slot.value.shape.clone());
        }
        value
    }
}

/// Returns the shape of a value within a bound; the bound's literal determines its type.
fn bound(comparison: Comparison, literal: &Literal) -> Shape {
    let value_type = match literal {
        Literal::Int(_) | Literal::Float(_) => Some(ValueType::Number),
        Literal::Duration(_) => Some(ValueType::Duration),
        Literal::Size(_) => Some(ValueType::Size),
        Literal::Text(_) => Some(ValueType::Text),
        Literal::Null | Literal::Bool(_) => None,
    };
    Shape::Limited(value_type, vec![(comparison, literal.clone())])
}

/// Returns the number of values that a value holds, itself included. The count saturates.
fn size(value: &Value) -> u32 {
    let sum = |sizes: &mut dyn Iterator<Item = u32>| sizes.fold(1, u32::saturating_add);
    match &value.shape {
        Shape::Struct { fields, .. } => sum(&mut fields.iter().map(|(_, slot)| size(&slot.value))),
        Shape::List(items, rest) => sum(&mut items.iter().chain(rest.as_deref()).map(size)),
        Shape::Or(alternatives) => sum(&mut alternatives.iter().map(|(_, alternative)| size(alternative))),
        Shape::Any | Shape::Limited(..) | Shape::Literal(_) | Shape::Invalid => 1,
    }
}
