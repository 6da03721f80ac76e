//! Converts values to JSON, and records the position of each in the file.

use std::collections::HashMap;

use serde_json::{json, Map, Value as Json};

use crate::ast::Field;
use crate::describe::describe_expected;
use crate::error::ConfigError;
use crate::literal::Literal;
use crate::span::Span;
use crate::value::{Shape, Slot, Value};

/// The position of each value in the file, by its path (such as `router.tracks[0].name`).
pub type Places = HashMap<String, Span>;

/// Converts a value to JSON. Returns an error for each value that is missing or not concrete.
pub fn export(value: &Value) -> Result<(Json, Places), Vec<ConfigError>> {
    let mut exporter = Exporter { places: Places::new(), errors: vec![] };
    let json = exporter.value(value, "", &value.span);
    if exporter.errors.is_empty() {
        Ok((json, exporter.places))
    } else {
        Err(exporter.errors)
    }
}

/// Message for a missing value until the name of its field is known.
const MISSING: &str = "a value is missing";

struct Exporter {
    places: Places,
    errors: Vec<ConfigError>,
}

impl Exporter {
    /// Converts a value; `around` is the position of the struct or list that holds it.
    fn value(&mut self, value: &Value, path: &str, around: &Span) -> Json {
        self.places.insert(path.to_string(), value.span.clone());
        match &value.shape {
            Shape::Literal(literal) => export_literal(literal),
            Shape::Struct { fields, .. } => self.fields(fields, path, &value.span),
            Shape::List(items, _) => {
                let items = items.iter().enumerate();
                let items =
                    items.map(|(index, item)| self.value(item, &format!("{path}[{index}]"), &value.span));
                Json::Array(items.collect())
            }
            Shape::Or(alternatives) => match alternatives.iter().find(|(is_default, _)| *is_default) {
                Some((_, default)) => self.value(default, path, around),
                None => self.missing(value, around),
            },
            Shape::Any | Shape::Limited(..) => self.missing(value, around),
            Shape::Invalid => Json::Null,
        }
    }

    fn fields(&mut self, fields: &[(String, Slot)], path: &str, span: &Span) -> Json {
        let mut map = Map::new();
        for (name, slot) in fields.iter().filter(|(name, _)| !Field::is_hidden(name)) {
            if slot.is_optional {
                continue;
            }
            let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
            let first_error = self.errors.len();
            let json = self.value(&slot.value, &path, span);
            // A missing value is reported with its field's name, at the struct that lacks it.
            let new_errors = self.errors[first_error..].iter_mut();
            for error in new_errors.filter(|error| error.message == MISSING) {
                error.message = format!("{name} has no value");
                error.span = span.clone();
            }
            map.insert(name.clone(), json);
        }
        Json::Object(map)
    }

    fn missing(&mut self, value: &Value, around: &Span) -> Json {
        self.errors.push(ConfigError::new(around.clone(), MISSING, describe_expected(value)));
        Json::Null
    }
}

fn export_literal(literal: &Literal) -> Json {
    match literal {
        Literal::Null => Json::Null,
        Literal::Bool(bool) => json!(bool),
        Literal::Int(int) | Literal::Duration(int) | Literal::Size(int) => json!(int),
        Literal::Float(float) => json!(float),
        Literal::Text(text) => json!(text),
    }
}
