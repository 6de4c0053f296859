//! Validated names and keys: bounded in length, cheap to clone, safe in paths, headers and logs.

use {
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc},
};

/// Maximum length of a name in bytes.
pub const NAME_MAX: usize = 63;
/// Maximum length of an idempotency key in bytes.
pub const KEY_MAX: usize = 128;

/// Result of parsing a name.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a text is not a valid name or key.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// a name must not be empty
    Empty,
    /// a name has {len} bytes, {max} are allowed
    Long {
        /// Bytes in the text.
        len: usize,
        /// Bytes allowed.
        max: usize,
    },
    /// character {0:?} is not allowed in a name: use a-z, 0-9 and '-' between them
    Char(char),
    /// character {0:?} is not allowed in a key: use printable ASCII without spaces
    KeyChar(char),
}

impl std::error::Error for Error {}

fn check_name(text: &str) -> Result<()> {
    check_len(text, NAME_MAX)?;
    let is_lower_or_digit = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit();
    if let Some(c) = text.chars().find(|&c| !is_lower_or_digit(c) && c != '-') {
        return Err(Error::Char(c));
    }
    if text.starts_with('-') || text.ends_with('-') {
        return Err(Error::Char('-'));
    }
    Ok(())
}

fn check_key(text: &str) -> Result<()> {
    check_len(text, KEY_MAX)?;
    match text.chars().find(|c| !c.is_ascii_graphic()) {
        Some(c) => Err(Error::KeyChar(c)),
        None => Ok(()),
    }
}

const fn check_len(text: &str, max: usize) -> Result<()> {
    if text.is_empty() {
        return Err(Error::Empty);
    }
    if text.len() > max {
        return Err(Error::Long { len: text.len(), max });
    }
    Ok(())
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident $check:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = Error;

            fn try_from(text: &str) -> Result<Self> {
                $check(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> Result<Self> {
                Self::try_from(text.as_str())
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }
    )*};
}

names! {
    /// Name of a cluster: the processes that share one replicated log.
    Cluster check_name;
    /// Name of a region: data centres whose links fail together.
    Region check_name;
    /// Name of a data centre.
    Center check_name;
    /// Name of a rack in a data centre.
    Rack check_name;
    /// Name of an instance: a host with its own address.
    Instance check_name;
    /// Name of a team: the customer that guarantees and limits apply to.
    Team check_name;
    /// Name of a service, which a set of endpoints serves.
    Service check_name;
    /// Name of a kind of request or job of a service.
    Kind check_name;
    /// Identifier of a job.
    Job check_name;
    /// Idempotency key, chosen by the caller.
    Key check_key;
}
