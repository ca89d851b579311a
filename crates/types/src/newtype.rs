//! Macros that define newtypes over integers and names, with parsing, formatting and serde support.

use displaydoc::Display;
use thiserror::Error;

/// cannot read {text:?} as {expected}
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub struct ParseValueError {
    /// Text that could not be parsed; may be shortened or empty.
    pub text: String,
    /// Expected type or values, as shown to users.
    pub expected: String,
}

/// Defines a newtype over an unsigned integer.
macro_rules! number {
    ($(#[$meta:meta])* $name:ident($inner:ty)) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd,
            serde::Deserialize, serde::Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// Returns the inner integer, in the unit of the type.
            pub const fn get(self) -> $inner {
                self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(f)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::ParseValueError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let Ok(value) = text.parse() else {
                    return Err($crate::ParseValueError {
                        text: text.to_owned(),
                        expected: stringify!($name).to_owned(),
                    });
                };
                Ok(Self(value))
            }
        }
    };
}

/// Defines a newtype over text of 1 to 64 characters out of `a-z`, `0-9`, `-`, `_` and `.`.
macro_rules! name {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd,
            serde::Deserialize, serde::Serialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the name: 1 to 64 characters out of `a-z`, `0-9`, `-`, `_` and `.`.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.pad(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::ParseValueError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                if !$crate::newtype::is_name(text) {
                    return Err($crate::ParseValueError {
                        text: text.chars().take(80).collect(),
                        expected: concat!(
                            stringify!($name),
                            " (1 to 64 characters out of a-z, 0-9, '-', '_' and '.')"
                        )
                        .to_owned(),
                    });
                }
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = $crate::ParseValueError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    };
}

pub(crate) use {name, number};

const MAX_NAME_BYTES: usize = 64;

/// Whether `text` is a valid name; the characters are safe in paths, logs and metrics without escapes.
pub(crate) fn is_name(text: &str) -> bool {
    let is_allowed =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-_.".contains(&byte);
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(is_allowed)
}
