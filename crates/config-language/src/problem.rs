//! What is wrong with a file, and where.

use std::ops::Range;

use miette::{Diagnostic, GraphicalReportHandler, LabeledSpan, NamedSource, SourceSpan};

/// Columns of a report.
const WIDE: usize = 1000;

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Bytes of the file.
    pub span: Range<usize>,
    pub what: String,
    pub expected: String,
}

impl Problem {
    pub fn new(span: Range<usize>, what: impl Into<String>, expected: impl Into<String>) -> Problem {
        Problem { span, what: what.into(), expected: expected.into() }
    }
}

/// All that is wrong with one file, in the order of their places.
#[derive(Debug, thiserror::Error)]
#[error("{}", self.lines().join("\n"))]
pub struct Problems {
    name: String,
    text: String,
    problems: Vec<Problem>,
}

impl Problems {
    pub fn new(name: &str, text: &str, mut problems: Vec<Problem>) -> Problems {
        problems.sort_by_key(|p| (p.span.start, p.span.end));
        problems.dedup();
        Problems { name: name.to_string(), text: text.to_string(), problems }
    }

    pub fn all(&self) -> &[Problem] {
        &self.problems
    }

    /// Line and column of a byte, counted from one.
    fn place(&self, at: usize) -> (usize, usize) {
        let before = &self.text.as_bytes()[..at.min(self.text.len())];
        let line = before.iter().filter(|&&b| b == b'\n').count() + 1;
        let column = String::from_utf8_lossy(before.rsplit(|&b| b == b'\n').next().unwrap_or(b""));
        (line, column.chars().count() + 1)
    }

    /// One line each: file, line, column, what is wrong, what was expected.
    pub fn lines(&self) -> Vec<String> {
        let line = |p: &Problem| {
            let (line, column) = self.place(p.span.start);
            let expected =
                if p.expected.is_empty() { String::new() } else { format!("; expected {}", p.expected) };
            format!("{}:{line}:{column}: {}{expected}", self.name, p.what)
        };
        self.problems.iter().map(line).collect()
    }

    /// Each problem with the lines around it, for a terminal.
    pub fn report(&self) -> String {
        // Wide enough that no line is broken: file, line and column stay where tools look for them.
        let handler = GraphicalReportHandler::new().with_width(WIDE);
        let shown = self.problems.iter().zip(self.lines()).map(|(problem, line)| {
            let length = problem.span.len().max(1);
            let shown = Shown {
                line,
                label: problem.expected.clone(),
                span: SourceSpan::new(problem.span.start.into(), length),
                file: NamedSource::new(&self.name, self.text.clone()),
            };
            let mut text = String::new();
            match handler.render_report(&mut text, &shown) {
                Ok(()) => text,
                Err(_) => shown.line,
            }
        });
        shown.collect::<Vec<_>>().join("\n")
    }
}

#[derive(Debug, thiserror::Error)]
#[error("{line}")]
struct Shown {
    line: String,
    label: String,
    span: SourceSpan,
    file: NamedSource<String>,
}

impl Diagnostic for Shown {
    fn source_code(&self) -> Option<&dyn miette::SourceCode> {
        Some(&self.file)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let label = (!self.label.is_empty()).then(|| format!("expected {}", self.label));
        Some(Box::new(std::iter::once(LabeledSpan::new_with_span(label, self.span))))
    }
}
