//! Admission queues of backend servers, each kept by the home instance of its server.
//!
//! The home instance of a backend server is chosen by rendezvous hashing over the instances (see
//! [`Members::home`](crate::peer::Members::home)). An entry instance is one that received a request
//! from a caller; before it sends the request to a backend server, it requests a slot, the right to
//! run one request there, from the home instance. The engine is the program on a backend server
//! that runs the model.
//!
//! [`admission`] decides for one server without I/O; it combines [`queue`], [`limit`], [`health`],
//! [`tenure`] and others. [`task`] runs it, and [`homes`] starts and stops the tasks as the fleet
//! changes. [`service`] and [`client`] are the two sides of the calls between instances.
//!
//! [`pick`] selects the backend servers to try for a request. [`limits`] and [`limits_task`]
//! enforce the limits of organisations across instances.

pub mod admission;
pub mod client;
pub mod fair;
pub mod headroom;
pub mod health;
pub mod homes;
pub mod limit;
pub mod limits;
pub mod limits_task;
pub mod occupancy;
pub mod pace;
pub mod pick;
pub mod poll;
pub mod queue;
pub mod report;
pub mod service;
pub mod task;
pub mod tenure;

pub use client::{AdmissionClient, AdmitError, Permit, RequestOutcome, RequestStats, SlotRequest};
pub use homes::{HomeQueues, start};
pub use limits::OverLimit;
pub use limits_task::{OrganisationLimits, RunningGuard};
pub use pick::{Candidate, PickCriteria, Picker};
pub use service::service;
