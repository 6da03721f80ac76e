//! Prints JSON in the configuration language.

use serde_json::Value as Json;

use crate::value::{Shape, Value};
use crate::value_type::ValueType;

/// Prints JSON that fits a form, with the units that the form requires. Null fields are left out.
pub fn print(json: &Json, form: &Value) -> String {
    if let Shape::Or(alternatives) = &form.shape {
        return print(json, fitting_alternative(json, alternatives));
    }
    match (json, &form.shape) {
        (Json::Object(map), Shape::Struct { fields, .. }) => {
            let form_of = |name: &str| {
                let field = fields.iter().find(|(known, _)| known == name);
                field.map(|(_, slot)| &slot.value)
            };
            let given = map.iter().filter(|(_, value)| !value.is_null());
            let fields =
                given.filter_map(|(name, value)| Some(format!("{name}: {}", print(value, form_of(name)?))));
            format!("{{{}}}", fields.collect::<Vec<_>>().join(", "))
        }
        (Json::Array(items), Shape::List(forms, rest)) => {
            let any = Value::new(0..0, Shape::Any);
            let form_of = |index: usize| forms.get(index).or(rest.as_deref()).unwrap_or(&any);
            let items = items.iter().enumerate().map(|(index, item)| print(item, form_of(index)));
            format!("[{}]", items.collect::<Vec<_>>().join(", "))
        }
        _ => format!("{json}{}", unit(form)),
    }
}

/// Returns the unit of the program's integers for values of a form.
fn unit(form: &Value) -> &'static str {
    match &form.shape {
        Shape::Limited(Some(ValueType::Duration), _) => "us",
        Shape::Limited(Some(ValueType::Size), _) => "B",
        _ => "",
    }
}

/// Returns the alternative of the value's shape: a struct that has all of its fields, a list without a fixed length, or a
/// type rather than a literal. Falls back to the first alternative.
fn fitting_alternative<'a>(json: &Json, alternatives: &'a [(bool, Value)]) -> &'a Value {
    let fits = |alternative: &&Value| match (json, &alternative.shape) {
        (Json::Object(map), Shape::Struct { fields, .. }) => {
            map.iter().all(|(name, value)| value.is_null() || fields.iter().any(|(known, _)| known == name))
        }
        (Json::Array(_), Shape::List(_, rest)) => rest.is_some(),
        (_, shape) => matches!(shape, Shape::Limited(..)),
    };
    let fitting = alternatives.iter().map(|(_, alternative)| alternative).find(fits);
    fitting.unwrap_or(&alternatives[0].1)
}
