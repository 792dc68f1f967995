//! Values that have to lie in a range.

use crate::edge::settings::error::FieldError;

/// A field's value, if it lies in its range.
pub(super) fn in_range(field: String, value: f64, min: f64, max: f64) -> Result<f64, FieldError> {
    if (min..=max).contains(&value) {
        return Ok(value);
    }
    Err(FieldError::OutOfRange { field, value, min, max })
}
