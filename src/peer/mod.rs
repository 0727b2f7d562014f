//! Communication between instances: who is alive, who is home of what, and the calls themselves.

pub mod generated;
pub mod load;
pub mod members;
pub mod pool;

pub use load::{Loads, LoadsWatch};
pub use members::{Member, Members, MembersWatch};
pub use pool::Pool;
