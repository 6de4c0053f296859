//! Fields at the end of stored and sent structs that former versions do not have.
//!
//! Records, snapshots and messages are positional, so a field may be added only where the former
//! encoding ends. Written with [`is_default`] as `skip_serializing_if`, a struct without the new
//! value is encoded as before, so that processes of the former version still read it.

use serde::{Deserialize, Deserializer};

/// Reads the field, or its default if the input ends before it.
///
/// A value that cannot be read is the default, too. The frame around the input has a checksum and
/// refuses bytes that are left over, so an incomplete value is not taken for a missing one.
///
/// # Errors
///
/// None.
pub fn read_or_default<'de, D: Deserializer<'de>, T: Deserialize<'de> + Default>(
    deserializer: D,
) -> Result<T, D::Error> {
    Ok(T::deserialize(deserializer).unwrap_or_default())
}

/// Whether the value is the default, which is not written.
pub fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
