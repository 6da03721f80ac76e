//! Errors in a configuration file, with their positions.

use miette::{Diagnostic, GraphicalReportHandler, LabeledSpan, NamedSource, SourceSpan};

use crate::span::Span;

/// Width of a report in columns. It is large enough that no line is wrapped, because tools look for file, line and column
/// at the start of one line.
const REPORT_WIDTH: usize = 1000;

/// One error in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// Position of the error, as a range of bytes of the file.
    pub span: Span,
    /// What is wrong.
    pub message: String,
    /// What was expected there; empty if unknown.
    pub expected: String,
}

impl ConfigError {
    pub(crate) fn new(span: Span, message: impl Into<String>, expected: impl Into<String>) -> ConfigError {
        ConfigError { span, message: message.into(), expected: expected.into() }
    }
}

/// All errors in one file, ordered by position. Displayed as [`ConfigErrors::lines`].
#[derive(Debug, thiserror::Error)]
#[error("{}", self.lines().join("\n"))]
pub struct ConfigErrors {
    file_name: String,
    text: String,
    errors: Vec<ConfigError>,
}

impl ConfigErrors {
    pub(crate) fn new(file_name: &str, text: &str, mut errors: Vec<ConfigError>) -> ConfigErrors {
        errors.sort_by_key(|error| (error.span.start, error.span.end));
        errors.dedup();
        ConfigErrors { file_name: file_name.to_string(), text: text.to_string(), errors }
    }

    /// Returns the errors, ordered by position.
    pub fn all(&self) -> &[ConfigError] {
        &self.errors
    }

    /// Returns line and column of a byte, both counted from 1; columns count characters.
    fn line_and_column(&self, byte: usize) -> (usize, usize) {
        let before = &self.text.as_bytes()[..byte.min(self.text.len())];
        let line = before.iter().filter(|&&byte| byte == b'\n').count() + 1;
        let line_start = before.rsplit(|&byte| byte == b'\n').next().unwrap_or(b"");
        let column = String::from_utf8_lossy(line_start).chars().count() + 1;
        (line, column)
    }

    /// Returns one line per error: file, line, column, what is wrong, what was expected.
    pub fn lines(&self) -> Vec<String> {
        self.errors.iter().map(|error| self.line(error)).collect()
    }

    fn line(&self, error: &ConfigError) -> String {
        let (line, column) = self.line_and_column(error.span.start);
        let expected = match error.expected.as_str() {
            "" => String::new(),
            expected => format!("; expected {expected}"),
        };
        format!("{}:{line}:{column}: {}{expected}", self.file_name, error.message)
    }

    /// Returns a report for a terminal that shows each error with the lines around it.
    pub fn report(&self) -> String {
        let handler = GraphicalReportHandler::new().with_width(REPORT_WIDTH);
        let reports = self.errors.iter().map(|error| {
            let length = error.span.len().max(1);
            let excerpt = Excerpt {
                line: self.line(error),
                expected: error.expected.clone(),
                span: SourceSpan::new(error.span.start.into(), length),
                file: NamedSource::new(&self.file_name, self.text.clone()),
            };
            let mut text = String::new();
            match handler.render_report(&mut text, &excerpt) {
                Ok(()) => text,
                Err(_) => excerpt.line,
            }
        });
        reports.collect::<Vec<_>>().join("\n")
    }
}

/// An error in the form that miette renders, with an excerpt of the file.
#[derive(Debug, thiserror::Error)]
#[error("{line}")]
struct Excerpt {
    line: String,
    expected: String,
    span: SourceSpan,
    file: NamedSource<String>,
}

impl Diagnostic for Excerpt {
    fn source_code(&self) -> Option<&dyn miette::SourceCode> {
        Some(&self.file)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let label = (!self.expected.is_empty()).then(|| format!("expected {}", self.expected));
        Some(Box::new(std::iter::once(LabeledSpan::new_with_span(label, self.span))))
    }
}
