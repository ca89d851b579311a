//! Macros that define newtypes over numbers and text with `Display` and `FromStr`.

use displaydoc::Display;
use thiserror::Error;

/// cannot read {text:?} as {expected}
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub struct ParseValueError {
    /// Text that was given.
    pub text: String,
    /// Type that was expected.
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
            /// Returns the plain number.
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
            /// Returns the name as text.
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

/// Longest name that is accepted, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Returns whether `text` is acceptable as a name in paths, logs and metrics.
pub(crate) fn is_name(text: &str) -> bool {
    let is_allowed =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-_.".contains(&byte);
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(is_allowed)
}
