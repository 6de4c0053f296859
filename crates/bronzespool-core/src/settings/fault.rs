//! Faults found in settings files.

use {
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::{fmt, io, ops::Deref, sync::Arc},
};

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, Faults>;

/// {file}:{line}: {key}: {message}
///
/// One fault of a file, with advice on how to fix it.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[ignore_extra_doc_attributes]
pub struct Fault {
    /// Path of the file.
    pub file: Arc<str>,
    /// Line number from 1, or 0 if the fault concerns the whole file.
    pub line: u32,
    /// Section and key, such as `[kind quota-check] deadline`.
    pub key: String,
    /// What is wrong and how to fix it.
    pub message: String,
}

/// All faults of one run, sorted by file and line.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults(pub Vec<Fault>);

impl Fault {
    /// Creates the fault of a file that cannot be read.
    pub fn unreadable(file: &str, error: &io::Error) -> Self {
        let message = format!("cannot be read ({error}): check the path and its permissions");
        Self::of_file(file, message)
    }

    /// Creates a fault that concerns a whole file.
    pub fn of_file(file: &str, message: String) -> Self {
        Self { file: file.into(), line: 0, key: "file".to_owned(), message }
    }
}

impl Faults {
    /// Returns `value` if it is present and there are no faults, otherwise the sorted faults.
    pub fn into_result<T>(mut self, value: Option<T>) -> Result<T> {
        match value {
            Some(value) if self.0.is_empty() => Ok(value),
            _ => {
                self.0.sort_by(|a, b| (&a.file, a.line).cmp(&(&b.file, b.line)));
                Err(self)
            }
        }
    }
}

impl std::error::Error for Faults {}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl Deref for Faults {
    type Target = [Fault];

    fn deref(&self) -> &[Fault] {
        &self.0
    }
}

impl IntoIterator for Faults {
    type Item = Fault;
    type IntoIter = std::vec::IntoIter<Fault>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.into_iter()
    }
}

impl From<Fault> for Faults {
    fn from(fault: Fault) -> Self {
        Self(vec![fault])
    }
}
