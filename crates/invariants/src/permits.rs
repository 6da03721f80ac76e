//! Permits: proofs that the record of a request was asked. Only this package can make one, and doing what it permits
//! uses it up.

/// An attempt may be sent.
#[derive(PartialEq, Eq, Debug)]
pub struct AttemptPermit(pub(crate) ());

/// A decode reservation may be requested.
#[derive(PartialEq, Eq, Debug)]
pub struct ReservationPermit(pub(crate) ());

/// The final response may be given.
#[derive(PartialEq, Eq, Debug)]
pub struct ResponsePermit(pub(crate) ());

/// The request may be forgotten.
#[derive(PartialEq, Eq, Debug)]
pub struct ClosePermit(pub(crate) ());
