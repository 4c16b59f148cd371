use rocket::{
    http::Status,
    request::{FromRequest, Outcome, Request},
};
use subtle::ConstantTimeEq;

/// Bearer token of operators.
pub struct AdminToken(pub String);

/// Request guard for requests with the operators' token.
pub struct Operator;

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Operator {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let expected = request.rocket().state::<AdminToken>();
        let sent = request
            .headers()
            .get_one("authorization")
            .and_then(|value| value.strip_prefix("Bearer "));
        match (expected, sent) {
            // With an empty token file, an empty token must not be accepted.
            (Some(token), Some(sent))
                if !token.0.is_empty() && bool::from(token.0.as_bytes().ct_eq(sent.as_bytes())) =>
            {
                Outcome::Success(Self)
            }
            _ => Outcome::Error((Status::Unauthorized, ())),
        }
    }
}
