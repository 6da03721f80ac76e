//! Permits: proof that the record of a request has permitted a step. Only this package can create one, and taking the
//! step consumes it.

/// Permits sending an attempt.
#[derive(PartialEq, Eq, Debug)]
pub struct AttemptPermit(pub(crate) ());

/// Permits requesting a decode reservation.
#[derive(PartialEq, Eq, Debug)]
pub struct ReservationPermit(pub(crate) ());

/// Permits sending the final response.
#[derive(PartialEq, Eq, Debug)]
pub struct ResponsePermit(pub(crate) ());

/// Permits closing the request: the lifecycle then forgets it.
#[derive(PartialEq, Eq, Debug)]
pub struct ClosePermit(pub(crate) ());
