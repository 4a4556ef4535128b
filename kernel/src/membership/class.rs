//! Classes of hosts by the processor share and the network link.

use serde::Deserialize;
use serde::Serialize;

/// One of four classes of a host's processor share and link. Brokers are elected among the hosts of
/// the highest class, which can do the work of a broker besides the requests of their own callers.
///
/// # Examples
///
/// ```
/// use borageladder_kernel::membership::HostClass;
///
/// let small = HostClass::of(0.12, 10.0);
/// let large = HostClass::of(0.5, 200.0);
/// assert!(small < large);
/// // A host with a slow link is in the lowest class, also with a fast processor.
/// assert_eq!(HostClass::of(4.0, 10.0), small);
/// ```
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct HostClass(u8);

/// The numbers of processor cores from which on a host is in the next higher class.
const CORE_CLASSES: [f64; 3] = [0.2, 0.4, 0.8];

/// The highest class.
const HIGHEST_CLASS: u8 = 3;

/// The link bandwidth below which a host is in the lowest class, in megabits per second. A slower
/// link does not suffice for the broker of many hosts.
const BROKER_MEGABITS: f64 = 50.0;

impl HostClass {
    /// Returns the class of a host with a share of processor cores and a link bandwidth in megabits
    /// per second.
    #[must_use]
    pub fn of(cores: f64, megabits: f64) -> Self {
        if megabits < BROKER_MEGABITS {
            return Self::default();
        }
        let reached = CORE_CLASSES.iter().filter(|class| cores >= **class);
        Self(u8::try_from(reached.count()).unwrap_or_default())
    }

    /// Returns the number of the class, from 0 to 3.
    #[must_use]
    pub const fn number(self) -> u8 {
        self.0
    }

    /// Returns the class with a number; a number above the highest class gives the highest class.
    #[must_use]
    pub const fn from_number(number: u8) -> Self {
        Self(if number > HIGHEST_CLASS {
            HIGHEST_CLASS
        } else {
            number
        })
    }
}
