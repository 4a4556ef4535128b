//! Lists of the live hosts of a data centre, and address hints for others.

use super::MAX_FREQUENT_LINKS;
use super::MemberService;
use crate::kernel::membership::ListedMember;
use crate::kernel::name::DatacenterName;
use crate::kernel::name::HostName;
use crate::wire::LinkMessage;
use crate::wire::MemberEntry;
use crate::wire::MemberList;
use crate::wire::WireRevision;

/// The number of hosts of other data centres that a host of a large deployment tells of each change in its own;
/// several times the number that the plan of links gives it.
const MAX_REMOTE_RECIPIENTS: usize = 60;

/// The number of hosts of the own data centre that a host sends address hints to at a time.
const GOSSIP_RECIPIENTS: usize = 2;

impl MemberService {
    pub(super) fn receive_list(&self, from: &HostName, list: &MemberList) {
        let now = (self.clock)();
        let mut dialer = self.dialer.borrow_mut();
        let mut has_new_address = false;
        for entry in list
            .members
            .iter()
            .filter(|entry| entry.host != *self.links.host())
        {
            has_new_address |= dialer.record_address(&list.datacenter, &entry.host, entry.address);
        }
        drop(dialer);
        let membership = self.membership.borrow();
        let from_listed_datacenter = membership.datacenter(from) == Some(&list.datacenter);
        drop(membership);
        // Only the hosts of a data centre know which others are alive there; other lists give no
        // more than addresses to dial.
        if from_listed_datacenter && list.datacenter != self.settings.datacenter {
            let members = list.members.iter().map(listed_member).collect();
            let mut membership = self.membership.borrow_mut();
            let changes = membership.record_member_list(from, members);
            drop(membership);
            self.announce_changes(changes);
        }
        // With many links, the next interval dials the new addresses of all lists at once.
        if has_new_address && self.links.connected().len() <= MAX_FREQUENT_LINKS {
            self.maintain_links(now);
        }
    }

    pub(super) fn announce_own_list(&self) {
        self.list_schedule.borrow_mut().record_sent((self.clock)());
        let list = self.own_list();
        self.announce(&list);
        *self.announced_list.borrow_mut() = Some(list);
    }

    /// Announces the list of this data centre because of changes. In a large deployment most changes are
    /// those of other data centres, which leave it as it was.
    pub(super) fn announce_changed_list(&self) {
        let is_large = self.dialer.borrow().is_large();
        if is_large && self.announced_list.borrow().as_ref() == Some(&self.own_list()) {
            self.list_schedule.borrow_mut().record_sent((self.clock)());
            return;
        }
        self.announce_own_list();
    }

    /// Sends lists also without a change.
    pub(super) fn repeat_lists(&self) {
        if self.dialer.borrow().is_large() {
            self.announce_own_list();
            return;
        }
        for host in self.links.connected() {
            self.send_all_lists(&host);
        }
    }

    pub(super) fn announce_changed_hints(&self) {
        let hints = self.dialer.borrow().hints(&self.membership.borrow());
        let before = self.sent_hints.replace(hints.clone());
        for hint in hints.iter().filter(|hint| !before.contains(hint)) {
            self.announce(hint);
        }
    }

    fn announce(&self, list: &MemberList) {
        if self.dialer.borrow().is_large() {
            for host in self.list_recipients.borrow().iter() {
                self.send_list(host, list.clone());
            }
            return;
        }
        let linked = self.links.connected();
        let recipients = self.list_schedule.borrow_mut().take_recipients(&linked);
        for host in recipients {
            self.send_list(host, list.clone());
        }
    }

    /// Sends lists to a host of a large deployment with its first heartbeat on a link, when its data centre
    /// is known.
    ///
    /// A host that opened the link may look for the others, so it gets address hints as well. One of another
    /// data centre also gets the lists that follow, as soon as there is room for it.
    pub(super) fn greet(&self, host: &HostName, datacenter: &DatacenterName) {
        if self.greeted.borrow().contains(host) {
            return;
        }
        let is_near = *datacenter == self.settings.datacenter;
        if !is_near && !self.add_recipient(host) {
            return;
        }
        self.greeted.borrow_mut().insert(host.clone());
        if self.links.is_dialed_by(host) {
            self.send_all_lists(host);
        } else if !is_near {
            self.send_list(host, self.own_list());
        }
        // The list may differ from the one that the others were sent.
        *self.announced_list.borrow_mut() = None;
    }

    /// Adds a host of another data centre to those that are told of changes; returns whether there was room.
    ///
    /// Hosts that don't know classed lists are linked with all others, so they need none.
    fn add_recipient(&self, host: &HostName) -> bool {
        let revision = self.links.peer_revision(host);
        let is_earlier = revision.is_some_and(|revision| revision < WireRevision::CLASSED_MEMBERS);
        let mut recipients = self.list_recipients.borrow_mut();
        if is_earlier || recipients.len() >= MAX_REMOTE_RECIPIENTS {
            return false;
        }
        recipients.insert(host.clone())
    }

    /// Sends the addresses of a few hosts of each other data centre to two hosts of this one, taken at random, so
    /// that each host finds all data centres.
    pub(super) fn gossip_hints(&self) {
        let mut near = self.links.connected();
        near.retain(|host| self.datacenter(host).as_ref() == Some(&self.settings.datacenter));
        let hints = self.dialer.borrow().random_hints(&self.membership.borrow());
        for _ in 0..GOSSIP_RECIPIENTS.min(near.len()) {
            let host = near.swap_remove(rand::random_range(0..near.len()));
            for hint in &hints {
                self.send_list(&host, hint.clone());
            }
        }
    }

    /// Prepares the greeting of a host with which a link was opened.
    pub(super) fn expect_greeting(&self, host: &HostName) {
        self.greeted.borrow_mut().remove(host);
        self.list_recipients.borrow_mut().remove(host);
    }

    /// Forgets the recipients of lists whose links have ended.
    pub(super) fn forget_recipients(&self) {
        let mut recipients = self.list_recipients.borrow_mut();
        recipients.retain(|host| self.links.is_connected(host));
    }

    /// Sends a list; one that can't be queued is dropped, since the next one replaces it.
    fn send_list(&self, host: &HostName, list: MemberList) {
        let revision = self.links.peer_revision(host);
        let message = match revision {
            Some(revision) if revision < WireRevision::CLASSED_MEMBERS => {
                LinkMessage::Members(list)
            }
            _ => LinkMessage::ClassedMembers(list),
        };
        let _ = self.links.send(host, message);
    }

    /// Sends lists to a host of a small deployment when a link with it is opened; only a host that opened
    /// the link may need the addresses of other data centres.
    pub(super) fn send_opening_lists(&self, host: &HostName) {
        if self.links.is_dialed_by(host) {
            self.send_all_lists(host);
        } else {
            self.send_list(host, self.own_list());
        }
    }

    /// Sends a host the list of this data centre and the address hints.
    pub(super) fn send_all_lists(&self, host: &HostName) {
        let own = self.own_list();
        let hints = self.dialer.borrow().hints(&self.membership.borrow());
        for list in std::iter::once(own).chain(hints) {
            self.send_list(host, list);
        }
    }

    fn own_list(&self) -> MemberList {
        let membership = self.membership.borrow();
        let others = membership.others().iter();
        let others = others.filter(|(_, live)| live.datacenter == self.settings.datacenter);
        let others = others.map(|(host, live)| MemberEntry {
            host: host.clone(),
            address: live.address,
            incarnation: live.incarnation,
            stopping: live.stopping,
            host_class: live.host_class,
        });
        let own = MemberEntry {
            host: self.links.host().clone(),
            address: self.links.own_address(),
            incarnation: self.links.incarnation(),
            stopping: membership.is_stopping(),
            host_class: membership.host_class(),
        };
        MemberList {
            datacenter: self.settings.datacenter.clone(),
            members: others.chain(std::iter::once(own)).collect(),
        }
    }
}

fn listed_member(entry: &MemberEntry) -> ListedMember {
    ListedMember {
        host: entry.host.clone(),
        incarnation: entry.incarnation,
        stopping: entry.stopping,
        host_class: entry.host_class,
        address: entry.address,
    }
}
