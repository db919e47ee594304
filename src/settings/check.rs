//! Validates a settings file and reports all its mistakes at once.
//!
//! The checks follow the table in [`crate::settings::field`]; see
//! docs/SETTINGS.md.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use saphyr::{LoadableYamlNode as _, MarkedYaml, Scalar, YamlData};

use crate::settings::{
    Settings,
    field::{FIELDS, Field, ORDERED_FIELDS, Presence, Shape},
    mistake::{Fault, Mistake},
};

/// The maximum length of a name.
const MAX_NAME_BYTES: usize = 64;
/// The minimum length of a secret.
const MIN_SECRET_BYTES: usize = 16;

/// Returns all mistakes in `text`, ordered by line.
///
/// # Examples
///
/// ```
/// let mistakes = mimosavane::settings::check::check("host.yaml", "hots: {}\n");
/// assert_eq!(mistakes[0].line, 1);
/// assert_eq!(mistakes[0].field, "hots");
/// ```
pub fn check(file: &str, text: &str) -> Vec<Mistake> {
    let mut checker = Checker {
        file: file.into(),
        mistakes: Vec::new(),
        integers: BTreeMap::new(),
    };
    match MarkedYaml::load_from_str(text) {
        Ok(documents) => checker.check_document(documents.first()),
        Err(error) => {
            let reason = error.info().to_owned();
            checker.report(error.marker().line(), "", Fault::Syntax { reason });
        }
    }
    if checker.mistakes.is_empty() {
        checker.check_deserialisation(text);
    }
    checker.mistakes.sort_by_key(|mistake| mistake.line);
    checker.mistakes
}

/// Walks the YAML document and collects the mistakes.
struct Checker {
    file: Arc<str>,
    mistakes: Vec<Mistake>,
    /// The integers of the file and their lines, by path.
    integers: BTreeMap<String, (i64, usize)>,
}

/// The entries of one YAML mapping.
type Entries<'a> = [(&'a MarkedYaml<'a>, &'a MarkedYaml<'a>)];

impl Checker {
    fn report(&mut self, line: usize, field: &str, fault: Fault) {
        self.mistakes.push(Mistake {
            file: self.file.clone(),
            line: line.max(1),
            field: field.to_owned(),
            fault,
        });
    }

    fn check_document(&mut self, document: Option<&MarkedYaml<'_>>) {
        let fields: Vec<(Vec<&str>, &Field)> = FIELDS
            .iter()
            .map(|field| (field.names().collect(), field))
            .collect();
        match document {
            Some(document) => self.check_section(document, 1, "", &fields),
            None => self.check_missing(1, "", &fields, &[]),
        }
        self.check_order();
    }

    /// Checks a mapping that starts at `line` against its `fields`, whose names are
    /// relative to it.
    fn check_section(
        &mut self,
        node: &MarkedYaml<'_>,
        line: usize,
        path: &str,
        fields: &[(Vec<&'static str>, &'static Field)],
    ) {
        let entries: Vec<_> = match &node.data {
            YamlData::Mapping(mapping) => mapping.iter().collect(),
            YamlData::Value(Scalar::Null) => Vec::new(),
            _ => {
                self.report(line, path, Fault::NotMapping);
                return;
            }
        };
        for (key, value) in &entries {
            let name = as_text(key).unwrap_or_default();
            let nested = descend(fields, name);
            let path = join(path, name);
            let key_line = key.span.start.line();
            match nested.first() {
                None => {
                    let known = known_names(fields);
                    self.report(key_line, &path, Fault::Unknown { known });
                }
                Some((rest, field)) if rest.is_empty() => self.check_value(value, &path, field),
                Some(_) => self.check_section(value, key_line, &path, &nested),
            }
        }
        self.check_missing(line, path, fields, &entries);
    }

    /// Reports the required fields that a section lacks.
    fn check_missing(
        &mut self,
        line: usize,
        path: &str,
        fields: &[(Vec<&'static str>, &'static Field)],
        entries: &Entries<'_>,
    ) {
        for (names, field) in fields {
            let Some(name) = names.first() else {
                continue;
            };
            let is_present = entries.iter().any(|(key, _)| as_text(key) == Some(*name));
            if is_present || field.presence != Presence::Required {
                continue;
            }
            let shape = field.shape;
            let path = join(path, &names.join("."));
            self.report(line, &path, Fault::Missing { shape });
        }
    }

    /// Checks the value of one field.
    fn check_value(&mut self, node: &MarkedYaml<'_>, path: &str, field: &Field) {
        let line = node.span.start.line();
        if let Some(value) = as_integer(node) {
            self.integers.insert(path.to_owned(), (value, line));
        }
        let shape = field.shape;
        match (shape, &node.data) {
            (Shape::Addresses | Shape::Names, YamlData::Sequence(items)) => {
                let item_shape = match shape {
                    Shape::Addresses => Shape::Address,
                    _ => Shape::Name,
                };
                for (index, item) in items.iter().enumerate() {
                    if !fits(item, item_shape) {
                        let shape = item_shape;
                        let path = format!("{path}[{index}]");
                        self.report(item.span.start.line(), &path, Fault::InvalidValue { shape });
                    }
                }
            }
            (Shape::Secrets, YamlData::Mapping(mapping)) => {
                self.check_secrets(mapping.iter(), path);
            }
            _ if !fits(node, shape) => self.report(line, path, Fault::InvalidValue { shape }),
            _ => {}
        }
    }

    /// Checks a mapping from names to secrets.
    fn check_secrets<'a>(
        &mut self,
        entries: impl Iterator<Item = (&'a MarkedYaml<'a>, &'a MarkedYaml<'a>)>,
        path: &str,
    ) {
        let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
        for (key, value) in entries {
            let line = key.span.start.line();
            let name = as_text(key).unwrap_or_default();
            let path = join(path, name);
            if !fits(key, Shape::Name) {
                self.report(line, &path, Fault::InvalidValue { shape: Shape::Name });
            }
            let secret = as_text(value).unwrap_or_default();
            if secret.len() < MIN_SECRET_BYTES {
                let shape = Shape::Secret;
                self.report(
                    value.span.start.line(),
                    &path,
                    Fault::InvalidValue { shape },
                );
            } else if let Some(other) = owners.insert(secret, name) {
                let other = other.to_owned();
                self.report(line, &path, Fault::SharedSecret { other });
            }
        }
    }

    /// Checks the pairs of fields of which one must be less than the other.
    fn check_order(&mut self) {
        for (lower, upper) in ORDERED_FIELDS {
            let (Some(low), Some(high)) = (self.integer(lower), self.integer(upper)) else {
                continue;
            };
            if low.0 >= high.0 {
                let fault = Fault::NotBelow {
                    upper,
                    upper_value: high.0,
                };
                self.report(low.1.max(high.1), lower, fault);
            }
        }
    }

    /// Returns an integer of the file, or its default, and its line (0 for a
    /// default).
    fn integer(&self, path: &str) -> Option<(i64, usize)> {
        let default = || {
            let field = FIELDS.iter().find(|field| field.path == path)?;
            match field.presence {
                Presence::Default(text) => Some((text.parse().ok()?, 0)),
                Presence::Required => None,
            }
        };
        self.integers.get(path).copied().or_else(default)
    }

    /// Deserialises the settings, which catches mistakes that the table misses.
    fn check_deserialisation(&mut self, text: &str) {
        if let Err(error) = serde_norway::from_str::<Settings>(text) {
            let line = error.location().map_or(1, |location| location.line());
            let reason = error.to_string();
            self.report(line, "", Fault::Other { reason });
        }
    }
}

/// Returns the fields of the section `name`, with paths relative to it.
fn descend(
    fields: &[(Vec<&'static str>, &'static Field)],
    name: &str,
) -> Vec<(Vec<&'static str>, &'static Field)> {
    fields
        .iter()
        .filter(|(names, _)| {
            names
                .first()
                .is_some_and(|first| *first == name || *first == "*")
        })
        .map(|(names, field)| (names[1..].to_vec(), *field))
        .collect()
}

/// Lists the field names of a section.
fn known_names(fields: &[(Vec<&'static str>, &'static Field)]) -> String {
    let mut names: Vec<&str> = fields
        .iter()
        .filter_map(|(names, _)| names.first().copied())
        .collect();
    names.dedup();
    names.join(", ")
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

fn as_text<'a>(node: &'a MarkedYaml<'_>) -> Option<&'a str> {
    match &node.data {
        YamlData::Value(Scalar::String(text)) => Some(text),
        _ => None,
    }
}

fn as_integer(node: &MarkedYaml<'_>) -> Option<i64> {
    match &node.data {
        YamlData::Value(Scalar::Integer(value)) => Some(*value),
        _ => None,
    }
}

/// Returns whether a single value has the given shape.
fn fits(node: &MarkedYaml<'_>, shape: Shape) -> bool {
    let text = as_text(node);
    match shape {
        Shape::Integer { min, max } => {
            as_integer(node).is_some_and(|value| value >= min && value <= max)
        }
        Shape::Number { min, max } => {
            let value = match &node.data {
                YamlData::Value(Scalar::FloatingPoint(value)) => Some(value.into_inner()),
                YamlData::Value(Scalar::Integer(value)) => Some(*value as f64),
                _ => None,
            };
            value.is_some_and(|value| value >= min && value <= max)
        }
        Shape::Boolean => matches!(&node.data, YamlData::Value(Scalar::Boolean(_))),
        Shape::Name => text.is_some_and(is_name),
        Shape::Text => text.is_some(),
        Shape::Secret => text.is_some_and(|text| text.is_empty() || text.len() >= MIN_SECRET_BYTES),
        Shape::Address => text.is_some_and(is_address),
        Shape::OptionalAddress => text.is_some_and(|text| text.is_empty() || is_address(text)),
        Shape::Url => text.is_some_and(is_url),
        Shape::OptionalUrl => text.is_some_and(|text| text.is_empty() || is_url(text)),
        Shape::Choice(words) => text.is_some_and(|text| words.contains(&text)),
        Shape::Addresses | Shape::Names | Shape::Secrets => false,
    }
}

fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

fn is_address(text: &str) -> bool {
    text.parse::<SocketAddr>().is_ok()
}

fn is_url(text: &str) -> bool {
    text.parse::<http::Uri>()
        .is_ok_and(|uri| matches!(uri.scheme_str(), Some("http" | "https")) && uri.host().is_some())
}
