//! Finds all that is wrong with a settings file at once.
//!
//! The checks follow the table of [`crate::settings::field`]; see
//! docs/SETTINGS.md.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use saphyr::{LoadableYamlNode as _, MarkedYaml, Scalar, YamlData};

use crate::settings::{
    Settings,
    field::{BELOW, FIELDS, Field, Presence, Shape},
    mistake::{Fault, Mistake},
};

/// The longest name.
const MAX_NAME_BYTES: usize = 64;
/// The shortest secret.
const MIN_SECRET_BYTES: usize = 16;

/// Returns all mistakes in `text`, in the order of their lines.
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
        wholes: BTreeMap::new(),
    };
    match MarkedYaml::load_from_str(text) {
        Ok(documents) => checker.check_document(documents.first()),
        Err(error) => {
            let reason = error.info().to_owned();
            checker.note(error.marker().line(), "", Fault::Syntax { reason });
        }
    }
    if checker.mistakes.is_empty() {
        checker.check_reading(text);
    }
    checker.mistakes.sort_by_key(|mistake| mistake.line);
    checker.mistakes
}

/// The mistakes found so far.
struct Checker {
    file: Arc<str>,
    mistakes: Vec<Mistake>,
    /// The whole numbers by path, with their lines.
    wholes: BTreeMap<String, (i64, usize)>,
}

/// One mapping of the file.
type Section<'a> = [(&'a MarkedYaml<'a>, &'a MarkedYaml<'a>)];

impl Checker {
    fn note(&mut self, line: usize, field: &str, fault: Fault) {
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

    /// Checks a mapping, which starts at `line`, against the fields below it.
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
                self.note(line, path, Fault::NotMapping);
                return;
            }
        };
        for (key, value) in &entries {
            let name = text_of(key).unwrap_or_default();
            let below = descend(fields, name);
            let path = join(path, name);
            let key_line = key.span.start.line();
            match below.first() {
                None => {
                    let known = known_names(fields);
                    self.note(key_line, &path, Fault::Unknown { known });
                }
                Some((rest, field)) if rest.is_empty() => self.check_value(value, &path, field),
                Some(_) => self.check_section(value, key_line, &path, &below),
            }
        }
        self.check_missing(line, path, fields, &entries);
    }

    /// Notes the required fields that a section lacks.
    fn check_missing(
        &mut self,
        line: usize,
        path: &str,
        fields: &[(Vec<&'static str>, &'static Field)],
        entries: &Section<'_>,
    ) {
        for (names, field) in fields {
            let Some(name) = names.first() else {
                continue;
            };
            let there = entries.iter().any(|(key, _)| text_of(key) == Some(*name));
            if there || field.presence != Presence::Required {
                continue;
            }
            let shape = field.shape;
            let path = join(path, &names.join("."));
            self.note(line, &path, Fault::Missing { shape });
        }
    }

    /// Checks one value.
    fn check_value(&mut self, node: &MarkedYaml<'_>, path: &str, field: &Field) {
        let line = node.span.start.line();
        if let Some(value) = whole_of(node) {
            self.wholes.insert(path.to_owned(), (value, line));
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
                        self.note(item.span.start.line(), &path, Fault::Misfit { shape });
                    }
                }
            }
            (Shape::Secrets, YamlData::Mapping(mapping)) => {
                self.check_secrets(mapping.iter(), path);
            }
            _ if !fits(node, shape) => self.note(line, path, Fault::Misfit { shape }),
            _ => {}
        }
    }

    /// Checks secrets by name.
    fn check_secrets<'a>(
        &mut self,
        entries: impl Iterator<Item = (&'a MarkedYaml<'a>, &'a MarkedYaml<'a>)>,
        path: &str,
    ) {
        let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
        for (key, value) in entries {
            let line = key.span.start.line();
            let name = text_of(key).unwrap_or_default();
            let path = join(path, name);
            if !fits(key, Shape::Name) {
                self.note(line, &path, Fault::Misfit { shape: Shape::Name });
            }
            let secret = text_of(value).unwrap_or_default();
            if secret.len() < MIN_SECRET_BYTES {
                let shape = Shape::Secret;
                self.note(value.span.start.line(), &path, Fault::Misfit { shape });
            } else if let Some(other) = owners.insert(secret, name) {
                let other = other.to_owned();
                self.note(line, &path, Fault::SharedSecret { other });
            }
        }
    }

    /// Checks the fields that must stay below each other.
    fn check_order(&mut self) {
        for (lower, upper) in BELOW {
            let (Some(low), Some(high)) = (self.whole(lower), self.whole(upper)) else {
                continue;
            };
            if low.0 >= high.0 {
                let fault = Fault::NotBelow {
                    upper,
                    upper_value: high.0,
                };
                self.note(low.1.max(high.1), lower, fault);
            }
        }
    }

    /// Returns a whole number of the file, or its default, with its line.
    fn whole(&self, path: &str) -> Option<(i64, usize)> {
        let default = || {
            let field = FIELDS.iter().find(|field| field.path == path)?;
            match field.presence {
                Presence::Default(text) => Some((text.parse().ok()?, 0)),
                Presence::Required => None,
            }
        };
        self.wholes.get(path).copied().or_else(default)
    }

    /// Reads the settings, in case the table misses a mistake.
    fn check_reading(&mut self, text: &str) {
        if let Err(error) = serde_norway::from_str::<Settings>(text) {
            let line = error.location().map_or(1, |location| location.line());
            let reason = error.to_string();
            self.note(line, "", Fault::Other { reason });
        }
    }
}

/// Returns the fields below `name`, without that name.
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

/// Lists the names that a section takes.
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

fn text_of<'a>(node: &'a MarkedYaml<'_>) -> Option<&'a str> {
    match &node.data {
        YamlData::Value(Scalar::String(text)) => Some(text),
        _ => None,
    }
}

fn whole_of(node: &MarkedYaml<'_>) -> Option<i64> {
    match &node.data {
        YamlData::Value(Scalar::Integer(value)) => Some(*value),
        _ => None,
    }
}

/// Says whether a single value fits a shape.
fn fits(node: &MarkedYaml<'_>, shape: Shape) -> bool {
    let text = text_of(node);
    match shape {
        Shape::Whole { min, max } => {
            whole_of(node).is_some_and(|value| value >= min && value <= max)
        }
        Shape::Ratio { min, max } => {
            let value = match &node.data {
                YamlData::Value(Scalar::FloatingPoint(value)) => Some(value.into_inner()),
                YamlData::Value(Scalar::Integer(value)) => Some(*value as f64),
                _ => None,
            };
            value.is_some_and(|value| value >= min && value <= max)
        }
        Shape::Switch => matches!(&node.data, YamlData::Value(Scalar::Boolean(_))),
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
