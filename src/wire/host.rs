//! Rows of the messages about hosts: heartbeats, member lists and quota usage.

use std::net::SocketAddr;
use std::time::Duration;

use super::Heartbeat;
use super::MemberEntry;
use super::MemberList;
use super::UsageReport;
use super::UsageSum;
use super::WorkspaceUsage;
use super::code::NameCode;
use super::error::CodecError;
use super::state::CodecState;
use crate::kernel::clock::ClockTime;
use crate::kernel::configuration::ConfigVersion;
use crate::kernel::membership::HostClass;
use crate::kernel::name::DatacenterName;
use crate::kernel::name::HostName;
use crate::kernel::name::WorkspaceName;

const FRESH_FLAG: u8 = 1;
const STOPPING_FLAG: u8 = 2;
/// The bit position of the host class among the flags.
const HOST_CLASS_SHIFT: u8 = 2;

/// Data centre, flags, difference of the known version from the previous one, known less applied
/// version, known less confirmed version, differences of the time sent and of the echo from the
/// previous ones in ms.
pub type HeartbeatRow = (NameCode, u8, i64, u64, u64, i64, Option<i64>);

/// Host, address, incarnation, whether the host is stopping.
pub type MemberRow = (NameCode, SocketAddr, u64, bool);

/// Data centre, members.
pub type MemberListRow = (NameCode, Vec<MemberRow>);

/// The row of a list of members with their classes.
pub type ClassedListRow = (DatacenterName, Vec<ClassedMemberRow>);

/// One member with its class: name, address, incarnation, whether it is stopping, class.
type ClassedMemberRow = (HostName, SocketAddr, u64, bool, HostClass);

/// Returns the row of a list of members with their classes.
pub fn classed_row(list: &MemberList) -> ClassedListRow {
    let members = list.members.iter().map(|entry| {
        let host = entry.host.clone();
        (
            host,
            entry.address,
            entry.incarnation,
            entry.stopping,
            entry.host_class,
        )
    });
    (list.datacenter.clone(), members.collect())
}

/// Returns the list of members of a row with their classes.
pub fn read_classed((datacenter, rows): ClassedListRow) -> MemberList {
    let members = rows.into_iter().map(|row| {
        let (host, address, incarnation, stopping, host_class) = row;
        MemberEntry {
            host,
            address,
            incarnation,
            stopping,
            host_class,
        }
    });
    MemberList {
        datacenter,
        members: members.collect(),
    }
}

/// Age of the sender in ms, workspaces with the units charged.
pub type UsageRow = (u64, Vec<(NameCode, f64)>);

/// Data centre, incarnation of the sender, number of hosts, workspaces with the units charged; without
/// codes of the link's tables, since earlier builds skip it.
pub type SumRow = (DatacenterName, u64, u32, Vec<(WorkspaceName, f64)>);

/// Returns the row of the use of a data centre.
pub fn sum_row(sum: &UsageSum) -> SumRow {
    let uses = sum.uses.iter();
    let uses = uses.map(|usage| (usage.workspace.clone(), usage.units));
    (
        sum.datacenter.clone(),
        sum.source,
        sum.hosts,
        uses.collect(),
    )
}

/// Returns the use of a data centre of a row.
pub fn read_sum(row: SumRow) -> UsageSum {
    let (datacenter, source, hosts, uses) = row;
    let uses = uses.into_iter();
    let uses = uses.map(|(workspace, units)| WorkspaceUsage { workspace, units });
    UsageSum {
        datacenter,
        source,
        hosts,
        uses: uses.collect(),
    }
}

fn whole_millis(time: ClockTime) -> u64 {
    time.as_micros() / 1_000
}

impl CodecState {
    /// Returns the row of a heartbeat.
    pub fn encode_heartbeat(&mut self, heartbeat: &Heartbeat) -> HeartbeatRow {
        let fresh = if heartbeat.fresh { FRESH_FLAG } else { 0 };
        let stopping = if heartbeat.stopping { STOPPING_FLAG } else { 0 };
        let known = heartbeat.known.0;
        (
            self.names.encode(heartbeat.datacenter.as_str()),
            fresh | stopping | heartbeat.host_class.number() << HOST_CLASS_SHIFT,
            self.versions.encode(known),
            known.wrapping_sub(heartbeat.applied.0),
            known.wrapping_sub(heartbeat.confirmed.0),
            self.sent.encode(whole_millis(heartbeat.sent)),
            heartbeat
                .echo
                .map(|echo| self.echoes.encode(whole_millis(echo))),
        )
    }

    /// Returns the heartbeat of a row.
    pub fn decode_heartbeat(&mut self, row: HeartbeatRow) -> Result<Heartbeat, CodecError> {
        let (datacenter, flags, known, applied, confirmed, sent, echo) = row;
        let datacenter = self.names.decode(datacenter)?;
        let known = self.versions.decode(known);
        let sent = ClockTime::from_millis(self.sent.decode(sent));
        let echo = echo.map(|echo| ClockTime::from_millis(self.echoes.decode(echo)));
        Ok(Heartbeat {
            datacenter,
            incarnation: self.incarnations.sender,
            applied: ConfigVersion(known.wrapping_sub(applied)),
            known: ConfigVersion(known),
            confirmed: ConfigVersion(known.wrapping_sub(confirmed)),
            fresh: flags & FRESH_FLAG != 0,
            stopping: flags & STOPPING_FLAG != 0,
            host_class: HostClass::from_number(flags >> HOST_CLASS_SHIFT),
            sent,
            echo,
        })
    }

    /// Returns the row of a quota usage report.
    pub fn encode_usage(&mut self, report: &UsageReport) -> UsageRow {
        let age = u64::try_from(report.age.as_millis()).unwrap_or(u64::MAX);
        let uses = report.uses.iter().map(|usage| {
            let workspace = self.names.encode(usage.workspace.as_str());
            (workspace, usage.units)
        });
        (age, uses.collect())
    }

    /// Returns the quota usage report of a row.
    pub fn decode_usage(&mut self, row: UsageRow) -> Result<UsageReport, CodecError> {
        let (age, rows) = row;
        let mut uses = Vec::with_capacity(rows.len());
        for (workspace, units) in rows {
            uses.push(WorkspaceUsage {
                workspace: self.names.decode(workspace)?,
                units,
            });
        }
        Ok(UsageReport {
            age: Duration::from_millis(age),
            uses,
        })
    }

    /// Returns the row of a list of members.
    pub fn encode_members(&mut self, list: &MemberList) -> MemberListRow {
        let datacenter = self.names.encode(list.datacenter.as_str());
        let members = list.members.iter().map(|entry| {
            let host = self.names.encode(entry.host.as_str());
            (host, entry.address, entry.incarnation, entry.stopping)
        });
        (datacenter, members.collect())
    }

    /// Returns the list of members of a row.
    pub fn decode_members(&mut self, row: MemberListRow) -> Result<MemberList, CodecError> {
        let (datacenter, entries) = row;
        let datacenter = self.names.decode(datacenter)?;
        let mut members = Vec::new();
        for (host, address, incarnation, stopping) in entries {
            members.push(MemberEntry {
                host: self.names.decode(host)?,
                address,
                incarnation,
                stopping,
                host_class: HostClass::default(),
            });
        }
        Ok(MemberList {
            datacenter,
            members,
        })
    }
}
