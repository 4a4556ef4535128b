//! Crashes of workers by the requests that they ran, shared over the links with all hosts.

mod parts;
mod places;
mod requests;

use std::rc::Rc;

use crate::kernel::name::HostName;
use crate::link::LinkSet;

pub use parts::SharedPartRegister;
pub use places::HostPlaces;
pub use places::ReportScope;
pub use requests::SharedCrashRegister;

/// Calls `report` for each host with which a link is opened, as long as the register exists.
fn report_on_connect<T: 'static>(
    links: &LinkSet,
    register: &Rc<T>,
    report: impl Fn(&T, &HostName) + 'static,
) {
    let weak = Rc::downgrade(register);
    links.on_connect(Rc::new(move |host| {
        if let Some(register) = weak.upgrade() {
            report(&register, host);
        }
    }));
}
