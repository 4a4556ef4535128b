//! Rows of bundles of reports of the use of quotas.

use std::collections::BTreeMap;
use std::time::Duration;

use super::error::CodecError;
use super::state::millis;
use crate::kernel::name::HostName;
use crate::kernel::name::WorkspaceName;
use crate::kernel::quota::PassedReport;
use crate::kernel::quota::ReportBundle;
use crate::kernel::quota::WorkspaceUsage;

/// Host, incarnation, age in ms, indexes of workspaces in the table of the bundle with the units
/// charged.
type ReportRow = (HostName, u64, u64, Vec<(usize, f64)>);

/// Whether the sender asks for direct reports, table of the workspaces, reports; without codes of the
/// link's tables, since earlier builds skip it.
pub type BundleRow = (bool, Vec<WorkspaceName>, Vec<ReportRow>);

/// Returns the row of a bundle.
pub fn bundle_row(bundle: &ReportBundle) -> BundleRow {
    let mut names = Vec::new();
    let mut indexes = BTreeMap::new();
    let mut reports = Vec::with_capacity(bundle.reports.len());
    for report in &bundle.reports {
        let uses = report.uses.iter().map(|usage| {
            let workspace = &usage.workspace;
            let index = indexes.entry(workspace).or_insert_with(|| {
                names.push(workspace.clone());
                names.len() - 1
            });
            (*index, usage.units)
        });
        let uses = uses.collect();
        reports.push((report.host.clone(), report.source, millis(report.age), uses));
    }
    (bundle.wants_reports, names, reports)
}

/// Returns the bundle of a row.
pub fn read_bundle(row: BundleRow) -> Result<ReportBundle, CodecError> {
    let (wants_reports, names, rows) = row;
    let mut reports = Vec::with_capacity(rows.len());
    for (host, source, age, rows) in rows {
        let mut uses = Vec::with_capacity(rows.len());
        for (index, units) in rows {
            let workspace = names.get(index).cloned();
            let workspace = workspace.ok_or(CodecError::Field { field: "workspace" })?;
            uses.push(WorkspaceUsage { workspace, units });
        }
        reports.push(PassedReport {
            host,
            source,
            age: Duration::from_millis(age),
            uses,
        });
    }
    Ok(ReportBundle {
        wants_reports,
        reports,
    })
}
