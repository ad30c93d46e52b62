//! The subscription to discovery: when the decision module asks for one.

mod request_schedule;

pub(crate) use request_schedule::RequestSchedule;
