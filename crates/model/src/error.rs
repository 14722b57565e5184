//! Errors of names, keys and declarations.

use std::fmt;
use std::result;

use quick_error::quick_error;

quick_error! {
    /// Kind of an error, private so that kinds can be added without breaking callers.
    #[derive(Debug)]
    enum ErrorKind {
        InvalidName(kind: &'static str, text: String) {
            display("invalid {kind} name {text:?}: use 1 to 63 lower-case letters, digits and inner hyphens")
        }
        Syntax(position: TextPosition, message: String) {
            display("{position}: {message}")
        }
        Declaration(errors: Vec<DeclarationError>) {
            display("{}", join_errors(errors))
        }
        Encode(message: String) {
            display("cannot encode the declaration as TOML: {message}")
        }
    }
}

/// Position in the text of a declaration, counted from 1.
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

/// Error in a declaration that is well-formed but invalid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DeclarationError {
    /// Position of the field, or of the table that lacks it, if known.
    pub position: Option<TextPosition>,
    /// Path of the field, for example `queues.certificates.pool`; empty if the
    /// error concerns no single field.
    pub field: String,
    /// Description of the error and how to correct it.
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

/// Category of an [`Error`], for callers that handle the categories differently.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// The text is not well-formed.
    Syntax,
    /// The text is well-formed, but its content is invalid.
    Data,
}

/// Error of a name, key or declaration.
#[derive(Debug)]
pub struct Error(Box<ErrorKind>);

/// Alias for [`result::Result`] with the error type [`Error`].
pub type Result<T> = result::Result<T, Error>;

impl Error {
    pub(crate) fn invalid_name(kind: &'static str, text: &str) -> Self {
        Self(Box::new(ErrorKind::InvalidName(kind, text.to_owned())))
    }

    pub(crate) fn syntax(position: TextPosition, message: String) -> Self {
        Self(Box::new(ErrorKind::Syntax(position, message)))
    }

    pub(crate) fn declaration(errors: Vec<DeclarationError>) -> Self {
        Self(Box::new(ErrorKind::Declaration(errors)))
    }

    pub(crate) fn encode(message: String) -> Self {
        Self(Box::new(ErrorKind::Encode(message)))
    }

    /// Returns the category of the error.
    pub fn classify(&self) -> Category {
        match *self.0 {
            ErrorKind::Syntax(..) => Category::Syntax,
            ErrorKind::InvalidName(..) | ErrorKind::Declaration(..) | ErrorKind::Encode(..) => {
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

    /// Returns every error found in a well-formed declaration.
    pub fn declaration_errors(&self) -> &[DeclarationError] {
        match &*self.0 {
            ErrorKind::Declaration(errors) => errors,
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

/// Formats one error per line.
fn join_errors(errors: &[DeclarationError]) -> String {
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
