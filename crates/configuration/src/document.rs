//! Parsed JSON with comments that maps fields to line numbers.

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::problem::SettingsProblem;

/// Allows comments and trailing commas; every other extension of JSON is refused.
pub(crate) const PARSE_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

pub(crate) const MAX_FILE_BYTES: usize = 1024 * 1024;

/// Parsed settings, profile or service file.
pub(crate) struct Document<'a> {
    pub(crate) file: &'a str,
    pub(crate) text: &'a str,
    pub(crate) root: Object<'a>,
}

impl<'a> Document<'a> {
    /// Parses `text`, which must consist of one object.
    pub(crate) fn parse(file: &'a str, text: &'a str) -> Result<Self, SettingsProblem> {
        if text.len() > MAX_FILE_BYTES {
            let reason = format!("at most {MAX_FILE_BYTES} bytes are accepted");
            return Err(SettingsProblem::unreadable(file, 1, reason));
        }
        let parsed = parse_to_ast(text, &CollectOptions::default(), &PARSE_OPTIONS);
        let parsed = parsed.map_err(|error| {
            // The parser places an unexpected end one line after the last; report the last line.
            let line = error.line_display().min(text.lines().count().max(1));
            SettingsProblem::unreadable(file, line, error.kind())
        })?;
        let Some(Value::Object(root)) = parsed.value else {
            return Err(SettingsProblem::unreadable(
                file,
                1,
                "the file must consist of one object",
            ));
        };
        Ok(Self { file, text, root })
    }

    pub(crate) fn line_of(&self, node: &impl Ranged) -> usize {
        line_at(self.text, node.start())
    }

    /// Returns the line of the first field called `name`, at any depth.
    pub(crate) fn line_of_name(&self, name: &str) -> Option<usize> {
        let property = find_property(&self.root, name)?;
        Some(self.line_of(property))
    }

    /// Returns the line of the field at `path`, or of its closest ancestor that is present.
    ///
    /// Path segments are separated by dots; an array element is selected by the value of its `kind`.
    pub(crate) fn line_of_path(&self, path: &str) -> usize {
        let mut line = self.line_of(&self.root);
        let mut current: Option<&Value<'_>> = None;
        for segment in path.split('.') {
            let next = match current {
                None => self.root.get(segment).map(|property| &property.value),
                Some(Value::Object(object)) => object.get(segment).map(|property| &property.value),
                Some(Value::Array(array)) => array.elements.iter().find(|element| {
                    let kind = element
                        .as_object()
                        .and_then(|object| object.get_string("kind"));
                    kind.is_some_and(|kind| kind.value == segment)
                }),
                Some(_) => None,
            };
            let Some(next) = next else {
                break;
            };
            line = self.line_of(next);
            current = Some(next);
        }
        line
    }
}

/// Finds the first property called `name`: in `object` itself, then depth-first in nested objects.
fn find_property<'o>(object: &'o Object<'o>, name: &str) -> Option<&'o ObjectProp<'o>> {
    if let Some(property) = object.get(name) {
        return Some(property);
    }
    let values = object.properties.iter().map(|property| &property.value);
    values.into_iter().find_map(|value| match value {
        Value::Object(inner) => find_property(inner, name),
        Value::Array(array) => {
            let mut objects = array.elements.iter().filter_map(Value::as_object);
            objects.find_map(|inner| find_property(inner, name))
        }
        _ => None,
    })
}

/// Line number of the byte at `offset`, starting at 1.
fn line_at(text: &str, offset: usize) -> usize {
    1 + text.get(..offset).unwrap_or_default().matches('\n').count()
}
