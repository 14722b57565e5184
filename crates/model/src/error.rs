//! Errors of names, keys and declarations.

use std::fmt;
use std::result;

use quick_error::quick_error;

quick_error! {
    /// What went wrong, kept private so that it can grow.
    #[derive(Debug)]
    enum ErrorKind {
        InvalidName(kind: &'static str, text: String) {
            display("invalid {kind} name {text:?}: use 1 to 63 lower-case letters, digits and inner hyphens")
        }
        Syntax(position: TextPosition, message: String) {
            display("{position}: {message}")
        }
        Faults(faults: Vec<DeclarationError>) {
            display("{}", join_faults(faults))
        }
        Encode(message: String) {
            display("cannot write the declaration: {message}")
        }
    }
}

/// Position in a declaration, counted from 1.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TextPosition {
    /// Line number.
    pub line: usize,
    /// Column number, in characters.
    pub column: usize,
}

impl fmt::Display for TextPosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "line {}, column {}", self.line, self.column)
    }
}

/// One fault of a declaration that is well-formed but cannot hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DeclarationError {
    /// Where the field, or the table that lacks it, stands in the text.
    pub position: Option<TextPosition>,
    /// Path of the field, for example `queues.certificates.pool`.
    pub field: String,
    /// What is wrong and what would mend it.
    pub message: String,
}

impl fmt::Display for DeclarationError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(position) = self.position {
            write!(formatter, "{position}: ")?;
        }
        if !self.field.is_empty() {
            write!(formatter, "{}: ", self.field)?;
        }
        formatter.write_str(&self.message)
    }
}

/// Kind of error that a caller can act on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// The text is not well-formed.
    Syntax,
    /// The text is well-formed, but its content cannot hold.
    Data,
}

/// Error of this package.
#[derive(Debug)]
pub struct Error(Box<ErrorKind>);

/// Result with the error of this package.
pub type Result<T> = result::Result<T, Error>;

impl Error {
    pub(crate) fn invalid_name(kind: &'static str, text: &str) -> Self {
        Self(Box::new(ErrorKind::InvalidName(kind, text.to_owned())))
    }

    pub(crate) fn syntax(position: TextPosition, message: String) -> Self {
        Self(Box::new(ErrorKind::Syntax(position, message)))
    }

    pub(crate) fn faults(faults: Vec<DeclarationError>) -> Self {
        Self(Box::new(ErrorKind::Faults(faults)))
    }

    pub(crate) fn encode(message: String) -> Self {
        Self(Box::new(ErrorKind::Encode(message)))
    }

    /// Returns the category of the error.
    pub fn classify(&self) -> Category {
        match *self.0 {
            ErrorKind::Syntax(..) => Category::Syntax,
            ErrorKind::InvalidName(..) | ErrorKind::Faults(..) | ErrorKind::Encode(..) => {
                Category::Data
            }
        }
    }

    /// Returns the line and column of a syntax error.
    pub fn position(&self) -> Option<TextPosition> {
        match *self.0 {
            ErrorKind::Syntax(position, _) => Some(position),
            _ => None,
        }
    }

    /// Returns every fault found in a well-formed declaration.
    pub fn declaration_errors(&self) -> &[DeclarationError] {
        match &*self.0 {
            ErrorKind::Faults(faults) => faults,
            _ => &[],
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, formatter)
    }
}

impl std::error::Error for Error {}

/// Writes one fault a line.
fn join_faults(faults: &[DeclarationError]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
