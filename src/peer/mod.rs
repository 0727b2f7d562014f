//! Communication between instances: membership, failure detection, home order and peer calls.

pub mod generated;
pub mod list;
pub mod load;
pub mod members;
pub mod membership;
pub mod pool;
pub mod presence;
pub mod service;
pub mod timeline;

pub use load::{Loads, LoadsWatch};
pub use members::{Member, Members, MembersWatch};
pub use membership::{Membership, PeerConfigReport};
pub use pool::PeerPool;
