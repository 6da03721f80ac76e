//! The configuration language: a subset of CUE (`docs/records.md` has the grammar). A file is checked as a whole against
//! the program's own definitions before anything starts.
//!
//! [`read`] converts the text of a file to a [`File`] of typed records, or returns all of its errors at once as
//! [`ConfigErrors`], each with its position and what was expected there. The definitions are written in the same language: [`SCHEMA`].

#![warn(missing_docs)]

mod ast;
mod bounds;
mod describe;
mod error;
mod evaluator;
mod export;
mod lexer;
mod literal;
mod parser;
mod printer;
pub mod records;
mod similar_name;
mod span;
mod unify;
mod validation;
mod value;
mod value_type;

pub use error::{ConfigError, ConfigErrors};
pub use records::File;

/// The program's own definitions, to which every file may refer.
pub const SCHEMA: &str = include_str!("schema.cue");
/// File name of the definitions in error messages.
const SCHEMA_NAME: &str = "schema.cue";

/// Prints a file as text that [`read`] accepts. Fails only if the definitions are invalid.
pub fn print(file: &File) -> Result<String, ConfigErrors> {
    let schema_errors = |errors| ConfigErrors::new(SCHEMA_NAME, SCHEMA, errors);
    let schema = parser::parse(SCHEMA).map_err(schema_errors)?;
    let form = evaluator::file_form(&schema).map_err(schema_errors)?;
    let json = serde_json::to_value(file).unwrap_or_default();
    let text = printer::print(&json, &form);
    // A file has no braces around its fields.
    let fields = text.trim_start_matches('{').strip_suffix('}').unwrap_or("");
    Ok(format!("{fields}\n"))
}

/// Parses and validates a file and converts it to typed records. Error messages name it `file_name`.
pub fn read(file_name: &str, text: &str) -> Result<File, ConfigErrors> {
    let file_errors = |errors: Vec<ConfigError>| ConfigErrors::new(file_name, text, errors);
    let schema = parser::parse(SCHEMA).map_err(file_errors)?;
    let fields = parser::parse(text).map_err(file_errors)?;
    let value = evaluator::evaluate(&schema, &fields).map_err(file_errors)?;
    let (json, places) = export::export(&value).map_err(file_errors)?;
    let file: File = serde_json::from_value(json).map_err(|error| {
        let message = format!("the definitions and the program disagree: {error}");
        file_errors(vec![ConfigError::new(0..0, message, "")])
    })?;
    let errors = validation::validate(&file, &|path| places.get(path).cloned().unwrap_or(0..0));
    if errors.is_empty() {
        Ok(file)
    } else {
        Err(file_errors(errors))
    }
}
