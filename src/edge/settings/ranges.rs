//! Range checks of numeric settings.

use crate::edge::settings::error::FieldError;

/// Returns `value` if it lies between `min` and `max` (both inclusive). `field` is the path of the setting, for the
/// error message.
pub(super) fn in_range(field: String, value: f64, min: f64, max: f64) -> Result<f64, FieldError> {
    if (min..=max).contains(&value) {
        return Ok(value);
    }
    Err(FieldError::OutOfRange { field, value, min, max })
}
