//! Balancers in front of the dispatcher: what they ask about its health.

use axum::http::StatusCode;

/// Whether clients may come: from the start on, as the list that was last held is known by then.
pub async fn ready() -> StatusCode {
    StatusCode::OK
}

/// Whether the program runs.
pub async fn live() -> StatusCode {
    StatusCode::OK
}
