//! Typed access to the fields of a settings object; collects all problems instead of stopping at the
//! first.

use std::cell::RefCell;
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;

use hawthorntide_types::ResultCode;
use jsonc_parser::ast::{Array, Object, ObjectProp, Value};

use crate::document::Document;
use crate::problem::SettingsProblem;

/// Rule for an address that other processes connect to, as shown in problems.
const ADDRESS_RULE: &str =
    "an IP address and port such as \"10.1.0.5:4100\", port 1 to 65535, not 0.0.0.0";

/// Problems found so far in one settings file.
pub(crate) struct Findings<'d> {
    document: &'d Document<'d>,
    problems: RefCell<Vec<SettingsProblem>>,
}

/// Object of a settings file. It records which fields were read, so that [`Section::finish`] can report
/// unknown ones.
pub(crate) struct Section<'d> {
    findings: &'d Findings<'d>,
    object: &'d Object<'d>,
    path: String,
    requested: RefCell<Vec<&'static str>>,
}

impl<'d> Findings<'d> {
    pub(crate) const fn new(document: &'d Document<'d>) -> Self {
        Self {
            document,
            problems: RefCell::new(Vec::new()),
        }
    }

    pub(crate) fn root(&'d self) -> Section<'d> {
        Section::new(self, &self.document.root, String::new())
    }

    /// Returns the problems sorted by line.
    pub(crate) fn into_problems(self) -> Vec<SettingsProblem> {
        let mut problems = self.problems.into_inner();
        problems.sort_by_key(|problem| problem.line);
        problems
    }

    fn add(&self, line: usize, field: String, accepted: impl Into<String>) {
        self.problems.borrow_mut().push(SettingsProblem {
            file: self.document.file.to_owned(),
            line,
            field,
            accepted: accepted.into(),
            code: ResultCode::SettingsInvalid,
        });
    }
}

impl<'d> Section<'d> {
    fn new(findings: &'d Findings<'d>, object: &'d Object<'d>, path: String) -> Self {
        Self {
            findings,
            object,
            path,
            requested: RefCell::new(Vec::new()),
        }
    }

    /// Reads a required string and parses it; `accepted` is the rule shown when that fails.
    pub(crate) fn text<Value>(&self, name: &'static str, accepted: &str) -> Option<Value>
    where
        Value: FromStr,
    {
        let value = self.required(name, accepted)?;
        self.parse(name, value, accepted)
    }

    /// Like [`Section::text`], for a field that may be absent.
    pub(crate) fn optional_text<Value>(&self, name: &'static str, accepted: &str) -> Option<Value>
    where
        Value: FromStr,
    {
        let value = self.find(name)?;
        self.parse(name, &value.value, accepted)
    }

    /// Reads a field that is true or false; false when absent.
    pub(crate) fn flag(&self, name: &'static str) -> bool {
        match self.find(name).map(|property| &property.value) {
            None => false,
            Some(Value::BooleanLit(flag)) => flag.value,
            Some(value) => {
                self.add(name, value, "true or false is accepted");
                false
            }
        }
    }

    /// Reads a required address; port 0 and unspecified or multicast addresses are problems.
    pub(crate) fn address(&self, name: &'static str) -> Option<SocketAddr> {
        let value = self.required(name, ADDRESS_RULE)?;
        self.parse_address(name, value)
    }

    /// Like [`Section::address`], for a field that may be absent.
    pub(crate) fn optional_address(&self, name: &'static str) -> Option<SocketAddr> {
        let value = self.find(name)?;
        self.parse_address(name, &value.value)
    }

    /// Reads a list of addresses, required unless `count` starts at 0; invalid elements are left out of
    /// the result.
    pub(crate) fn address_list(
        &self,
        name: &'static str,
        count: RangeInclusive<usize>,
    ) -> Vec<SocketAddr> {
        let Some(array) = self.array(name, count) else {
            return Vec::new();
        };
        let elements = array.elements.iter();
        elements
            .filter_map(|element| self.parse_address(name, element))
            .collect()
    }

    /// Reads a list of strings and parses them, required unless `count` starts at 0; invalid elements
    /// are left out of the result.
    pub(crate) fn text_list<Value>(
        &self,
        name: &'static str,
        count: RangeInclusive<usize>,
        accepted: &str,
    ) -> Vec<Value>
    where
        Value: FromStr,
    {
        let Some(array) = self.array(name, count) else {
            return Vec::new();
        };
        let elements = array.elements.iter();
        elements
            .filter_map(|element| self.parse(name, element, accepted))
            .collect()
    }

    /// Reads a required number in `range`.
    pub(crate) fn number<Number>(
        &self,
        name: &'static str,
        range: RangeInclusive<Number>,
    ) -> Option<Number>
    where
        Number: Display + FromStr + PartialOrd,
    {
        let accepted = number_range(&range);
        let value = self.required(name, &accepted)?;
        self.parse_number(name, value, &range)
    }

    /// Like [`Section::number`], for a field that may be absent.
    pub(crate) fn optional_number<Number>(
        &self,
        name: &'static str,
        range: RangeInclusive<Number>,
    ) -> Option<Number>
    where
        Number: Display + FromStr + PartialOrd,
    {
        let value = self.find(name)?;
        self.parse_number(name, &value.value, &range)
    }

    /// Opens an optional nested object; the caller must call [`Section::finish`] on it.
    pub(crate) fn optional_section(&self, name: &'static str) -> Option<Section<'d>> {
        let property = self.find(name)?;
        let Value::Object(object) = &property.value else {
            self.add(name, &property.value, "an object is accepted");
            return None;
        };
        Some(Section::new(self.findings, object, self.path_of(name)))
    }

    /// Opens an optional list of objects; the caller must call [`Section::finish`] on each.
    pub(crate) fn optional_sections(&self, name: &'static str) -> Vec<Section<'d>> {
        let Some(property) = self.find(name) else {
            return Vec::new();
        };
        let Value::Array(array) = &property.value else {
            self.add(name, &property.value, "a list of objects is accepted");
            return Vec::new();
        };
        let mut sections = Vec::new();
        for (index, element) in array.elements.iter().enumerate() {
            let path = format!("{}[{index}]", self.path_of(name));
            let Value::Object(object) = element else {
                self.add(name, element, "an object is accepted");
                continue;
            };
            sections.push(Section::new(self.findings, object, path));
        }
        sections
    }

    pub(crate) fn has(&self, name: &str) -> bool {
        self.object.get(name).is_some()
    }

    /// Reports a problem at the line of the field `name`, or of the object when the field is absent.
    pub(crate) fn report(&self, name: &str, accepted: &str) {
        let line = match self.object.get(name) {
            Some(property) => self.findings.document.line_of(property),
            None => self.findings.document.line_of(self.object),
        };
        self.findings.add(line, self.path_of(name), accepted);
    }

    /// Reports unknown and repeated fields; called after all known fields were read.
    pub(crate) fn finish(self) {
        let known = self.requested.borrow();
        let mut seen: Vec<&str> = Vec::new();
        for property in &self.object.properties {
            let name = property.name.as_str();
            let line = self.findings.document.line_of(property);
            let shown: String = name.chars().take(80).collect();
            if !known.contains(&name) {
                let accepted = format!("unknown field, accepted fields are {}", known.join(", "));
                self.findings.add(line, self.path_of(&shown), accepted);
            } else if seen.contains(&name) {
                self.findings
                    .add(line, self.path_of(&shown), "the field is given twice");
            }
            seen.push(name);
        }
    }

    fn find(&self, name: &'static str) -> Option<&'d ObjectProp<'d>> {
        self.requested.borrow_mut().push(name);
        self.object.get(name)
    }

    fn required(&self, name: &'static str, accepted: &str) -> Option<&'d Value<'d>> {
        let found = self.find(name);
        if found.is_none() {
            self.report(name, &format!("the field is required: {accepted}"));
        }
        found.map(|property| &property.value)
    }

    fn array(&self, name: &'static str, count: RangeInclusive<usize>) -> Option<&'d Array<'d>> {
        let (least, most) = (*count.start(), *count.end());
        let accepted = format!("a list of {least} to {most} entries is accepted");
        if least == 0 && self.object.get(name).is_none() {
            self.find(name);
            return None;
        }
        let value = self.required(name, &accepted)?;
        match value {
            Value::Array(array) if count.contains(&array.elements.len()) => Some(array),
            _ => {
                self.add(name, value, &accepted);
                None
            }
        }
    }

    fn parse<Parsed: FromStr>(
        &self,
        name: &str,
        value: &Value<'_>,
        accepted: &str,
    ) -> Option<Parsed> {
        let text = value.as_string_lit();
        let parsed = text.and_then(|text| text.value.parse().ok());
        if parsed.is_none() {
            self.add(name, value, accepted);
        }
        parsed
    }

    fn parse_address(&self, name: &str, value: &Value<'_>) -> Option<SocketAddr> {
        let address: SocketAddr = self.parse(name, value, ADDRESS_RULE)?;
        if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
            self.add(name, value, ADDRESS_RULE);
            return None;
        }
        Some(address)
    }

    fn parse_number<Number>(
        &self,
        name: &str,
        value: &Value<'_>,
        range: &RangeInclusive<Number>,
    ) -> Option<Number>
    where
        Number: Display + FromStr + PartialOrd,
    {
        let literal = value.as_number_lit();
        let parsed = literal.and_then(|literal| literal.value.parse().ok());
        let accepted = parsed.filter(|number| range.contains(number));
        if accepted.is_none() {
            self.add(name, value, &number_range(range));
        }
        accepted
    }

    fn add(&self, name: &str, value: &Value<'_>, accepted: &str) {
        let line = self.findings.document.line_of(value);
        self.findings.add(line, self.path_of(name), accepted);
    }

    fn path_of(&self, name: &str) -> String {
        if self.path.is_empty() {
            return name.to_owned();
        }
        format!("{}.{name}", self.path)
    }
}

fn number_range<Number: Display>(range: &RangeInclusive<Number>) -> String {
    format!("{} to {} is accepted", range.start(), range.end())
}
