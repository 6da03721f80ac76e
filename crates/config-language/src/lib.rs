//! Typed records: the files that the program is configured by, a stated subset of CUE (`docs/records.md` has
//! the grammar). A file is checked whole, against the program's own definitions, before anything starts.
//!
//! [`read`] takes a file's text to a [`File`] of typed records or to all of its [`Problems`] at once, each with
//! its place and what was expected there. The definitions themselves are records too: `schema.cue`.

mod eval;
pub mod kinds;
mod lex;
mod problem;
mod syntax;
mod value;

pub use kinds::File;
pub use problem::{Problem, Problems};

/// The program's own definitions, which every file may name.
pub const SCHEMA: &str = include_str!("schema.cue");

/// A file of records as text, which [`read`] takes again.
pub fn print(file: &File) -> Result<String, Problems> {
    let schema = syntax::parse(SCHEMA).map_err(|p| Problems::new("schema.cue", SCHEMA, p))?;
    let form = eval::form(&schema).map_err(|p| Problems::new("schema.cue", SCHEMA, p))?;
    let json = serde_json::to_value(file).unwrap_or_default();
    let text = value::print(&json, &form);
    // The outermost braces are the file's own.
    Ok(text.trim_start_matches('{').strip_suffix('}').unwrap_or("").to_string() + "\n")
}

/// Reads, checks and types a whole file. `name` is what problems call it.
pub fn read(name: &str, text: &str) -> Result<File, Problems> {
    let problems = |problems: Vec<Problem>| Problems::new(name, text, problems);
    let schema = syntax::parse(SCHEMA).map_err(problems)?;
    let file = syntax::parse(text).map_err(problems)?;
    let value = eval::evaluate(&schema, &file).map_err(problems)?;
    let (json, places) = value::export(&value).map_err(problems)?;
    let file: File = serde_json::from_value(json).map_err(|e| {
        problems(vec![Problem::new(0..0, format!("the definitions and the program disagree: {e}"), "")])
    })?;
    let faults = kinds::faults(&file, &|path| places.get(path).cloned().unwrap_or(0..0));
    if faults.is_empty() {
        Ok(file)
    } else {
        Err(problems(faults))
    }
}
