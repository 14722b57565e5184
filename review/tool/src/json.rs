//! Small JSON parser, so that the scripts need no library.

use std::iter::Peekable;
use std::str::Chars;

/// JSON value.
#[derive(Clone, Debug)]
pub enum Value {
    /// `null`.
    Null,
    /// `true` or `false`.
    Bool,
    /// Number.
    Number(f64),
    /// String.
    Text(String),
    /// Array.
    List(Vec<Value>),
    /// Object, in the order of the text.
    Object(Vec<(String, Value)>),
}

impl Value {
    /// Returns a field of an object.
    pub fn field(&self, name: &str) -> Option<&Value> {
        let Self::Object(fields) = self else {
            return None;
        };
        let found = fields.iter().find(|(field, _)| field == name);
        found.map(|(_, value)| value)
    }

    /// Returns a number.
    pub fn number(&self) -> Option<f64> {
        match self {
            Self::Number(number) => Some(*number),
            _ => None,
        }
    }

    /// Returns a string.
    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }
}

type Input<'a> = Peekable<Chars<'a>>;

/// Parses a JSON text; returns none if it is malformed.
pub fn parse(text: &str) -> Option<Value> {
    parse_value(&mut text.chars().peekable())
}

fn skip_space(input: &mut Input<'_>) {
    while input.next_if(|char| char.is_whitespace()).is_some() {}
}

fn expect(input: &mut Input<'_>, wanted: char) -> Option<()> {
    skip_space(input);
    input.next_if_eq(&wanted).map(|_| ())
}

fn parse_value(input: &mut Input<'_>) -> Option<Value> {
    skip_space(input);
    match input.peek()? {
        '{' => parse_object(input),
        '[' => parse_list(input),
        '"' => parse_text(input).map(Value::Text),
        _ => parse_word(input),
    }
}

fn parse_object(input: &mut Input<'_>) -> Option<Value> {
    expect(input, '{')?;
    let mut fields = Vec::new();
    if expect(input, '}').is_some() {
        return Some(Value::Object(fields));
    }
    loop {
        skip_space(input);
        let name = parse_text(input)?;
        expect(input, ':')?;
        fields.push((name, parse_value(input)?));
        if expect(input, ',').is_none() {
            expect(input, '}')?;
            return Some(Value::Object(fields));
        }
    }
}

fn parse_list(input: &mut Input<'_>) -> Option<Value> {
    expect(input, '[')?;
    let mut values = Vec::new();
    if expect(input, ']').is_some() {
        return Some(Value::List(values));
    }
    loop {
        values.push(parse_value(input)?);
        if expect(input, ',').is_none() {
            expect(input, ']')?;
            return Some(Value::List(values));
        }
    }
}

fn parse_text(input: &mut Input<'_>) -> Option<String> {
    input.next_if_eq(&'"')?;
    let mut text = String::new();
    loop {
        match input.next()? {
            '"' => return Some(text),
            '\\' => match input.next()? {
                'n' => text.push('\n'),
                't' => text.push('\t'),
                'u' => {
                    let digits: String = input.by_ref().take(4).collect();
                    let code = u32::from_str_radix(&digits, 16).ok()?;
                    text.push(char::from_u32(code).unwrap_or(char::REPLACEMENT_CHARACTER));
                }
                other => text.push(other),
            },
            other => text.push(other),
        }
    }
}

fn parse_word(input: &mut Input<'_>) -> Option<Value> {
    let mut word = String::new();
    while let Some(char) = input.next_if(|char| !",]}".contains(*char) && !char.is_whitespace()) {
        word.push(char);
    }
    match word.as_str() {
        "null" => Some(Value::Null),
        "true" | "false" => Some(Value::Bool),
        number => number.parse().ok().map(Value::Number),
    }
}
