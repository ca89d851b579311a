//! Text in JSON with comments, with the lines of its fields.

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::problem::SettingsProblem;

/// JSON with comments and trailing commas, and no other extension.
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

/// Largest file that is read.
pub(crate) const MAX_FILE_BYTES: usize = 1024 * 1024;

/// Parsed file.
pub(crate) struct Document<'a> {
    pub(crate) file: &'a str,
    pub(crate) text: &'a str,
    pub(crate) root: Object<'a>,
}

impl<'a> Document<'a> {
    /// Parses `text`, which must be one object.
    pub(crate) fn parse(file: &'a str, text: &'a str) -> Result<Self, SettingsProblem> {
        if text.len() > MAX_FILE_BYTES {
            let reason = format!("at most {MAX_FILE_BYTES} bytes are accepted");
            return Err(SettingsProblem::unreadable(file, 1, reason));
        }
        let parsed = parse_to_ast(text, &CollectOptions::default(), &PARSE_OPTIONS);
        let parsed = parsed.map_err(|error| {
            // Text that ends too early is reported at its last line, not at the one after it.
            let line = error.line_display().min(text.lines().count().max(1));
            SettingsProblem::unreadable(file, line, error.kind())
        })?;
        let Some(Value::Object(root)) = parsed.value else {
            return Err(SettingsProblem::unreadable(
                file,
                1,
                "one object is accepted",
            ));
        };
        Ok(Self { file, text, root })
    }

    /// Returns the line of `node`.
    pub(crate) fn line_of(&self, node: &impl Ranged) -> usize {
        line_at(self.text, node.start())
    }

    /// Returns the line of the first field called `name`, at any depth.
    pub(crate) fn line_of_name(&self, name: &str) -> Option<usize> {
        let property = find_property(&self.root, name)?;
        Some(self.line_of(property))
    }

    /// Returns the line of the field at `path`, or of its closest parent that is present.
    ///
    /// An element of an array is named by its position or by the text of its `kind`.
    pub(crate) fn line_of_path(&self, path: &str) -> usize {
        let mut line = self.line_of(&self.root);
        let mut position: Option<&Value<'_>> = None;
        for segment in path.split('.') {
            let next = match position {
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
            position = Some(next);
        }
        line
    }
}

/// Returns the first property called `name` within `object`.
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

/// Returns the line of the byte at `offset`, starting at 1.
fn line_at(text: &str, offset: usize) -> usize {
    1 + text.get(..offset).unwrap_or_default().matches('\n').count()
}
