//! Operators' queries to all hosts, with a timeout for their answers.
//!
//! Hosts of the same data centre are queried directly. In each other data centre one linked host is
//! queried and answers for all hosts there, so that each remote data centre gets one message per
//! query.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use tokio::sync::Notify;

use crate::context::HostContext;
use crate::kernel::name::DatacenterName;
use crate::kernel::name::HostName;
use crate::rows;
use crate::wire::LinkMessage;

/// The timeout of a query, after which hosts without an answer are listed as unanswered.
pub const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// The timeout for the answers of a data centre's hosts that are collected for a host in another
/// data centre; shorter than [`QUERY_TIMEOUT`], so that they reach that host in time.
const COLLECT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The rows of one host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HostRows {
    /// The host that answered.
    pub host: HostName,
    /// The rows of the host; each has one value per column of the queried result table.
    pub rows: Vec<Vec<Value>>,
}

/// The answers of all hosts to one query.
#[derive(Clone, Debug, Default)]
pub struct GatheredRows {
    /// The rows of the hosts that answered.
    pub answers: Vec<HostRows>,
    /// The live hosts that did not answer in time.
    pub unanswered: Vec<HostName>,
}

#[derive(Debug, Default)]
struct PendingQuery {
    missing: BTreeSet<HostName>,
    answers: Vec<HostRows>,
    complete: Rc<Notify>,
}

/// The queries of this host that wait for answers.
#[derive(Debug, Default)]
pub struct QueryTable {
    next_number: Cell<u64>,
    pending: RefCell<BTreeMap<u64, PendingQuery>>,
}

impl QueryTable {
    /// Adds the answer that host `from` sent to the query with the given number; ignored if the
    /// query has ended.
    pub fn add_rows(&self, number: u64, from: &HostName, rows: &str) {
        let mut pending = self.pending.borrow_mut();
        let Some(query) = pending.get_mut(&number) else {
            return;
        };
        // An answer that can't be decoded adds no rows, so its hosts are listed as unanswered.
        let answers: Vec<HostRows> = serde_json::from_str(rows).unwrap_or_default();
        query.answers.extend(answers);
        query.missing.remove(from);
        if query.missing.is_empty() {
            query.complete.notify_one();
        }
    }

    fn start(&self, queried: &[HostName]) -> (u64, Rc<Notify>) {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let query = PendingQuery {
            missing: queried.iter().cloned().collect(),
            ..PendingQuery::default()
        };
        let complete = Rc::clone(&query.complete);
        self.pending.borrow_mut().insert(number, query);
        (number, complete)
    }

    fn finish(&self, number: u64) -> Vec<HostRows> {
        self.pending
            .borrow_mut()
            .remove(&number)
            .map(|query| query.answers)
            .unwrap_or_default()
    }
}

/// Queries all live hosts, including this one.
pub async fn gather(context: &Rc<HostContext>, text: &str) -> GatheredRows {
    let queried = queried_hosts(context);
    let mut answers = query_hosts(context, &queried, text, QUERY_TIMEOUT).await;
    answers.push(own_rows(context, text));
    let answered_hosts: BTreeSet<&HostName> = answers.iter().map(|answer| &answer.host).collect();
    let alive = context.members.all_alive();
    let unanswered = alive
        .into_iter()
        .filter(|host| !answered_hosts.contains(host))
        .collect();
    GatheredRows {
        answers,
        unanswered,
    }
}

/// Answers the query of another host. If that host is in another data centre, the answer includes
/// the rows of the other linked hosts of this data centre.
pub fn answer(context: &Rc<HostContext>, from: &HostName, number: u64, text: String) {
    let context = Rc::clone(context);
    let from = from.clone();
    actix_rt::spawn(async move {
        let mut answers = vec![own_rows(&context, &text)];
        if context.members.datacenter(&from).as_ref() != Some(context.datacenter()) {
            let local_hosts = linked_hosts(&context, context.datacenter());
            answers.extend(query_hosts(&context, &local_hosts, &text, COLLECT_TIMEOUT).await);
        }
        // Serialization to memory fails only for maps with non-string keys.
        let rows = serde_json::to_string(&answers).unwrap_or_default();
        // The querying host lists hosts whose answer is lost as unanswered.
        let _ = context
            .links
            .send(&from, LinkMessage::QueryAnswer { number, rows });
    });
}

fn own_rows(context: &HostContext, text: &str) -> HostRows {
    HostRows {
        host: context.host().clone(),
        rows: rows::host_rows(context, text),
    }
}

async fn query_hosts(
    context: &HostContext,
    hosts: &[HostName],
    text: &str,
    limit: Duration,
) -> Vec<HostRows> {
    if hosts.is_empty() {
        return Vec::new();
    }
    let (number, complete) = context.queries.start(hosts);
    for host in hosts {
        let message = LinkMessage::Query {
            number,
            text: text.to_owned(),
        };
        // A host that can't be reached is listed as unanswered.
        let _ = context.links.send(host, message);
    }
    // After a timeout the answers that have arrived are used.
    let _ = tokio::time::timeout(limit, complete.notified()).await;
    context.queries.finish(number)
}

/// Returns the linked hosts of this data centre and one linked host of each other data centre.
fn queried_hosts(context: &HostContext) -> Vec<HostName> {
    let mut queried = linked_hosts(context, context.datacenter());
    let hosts = context.members.all_alive();
    let datacenters = hosts
        .iter()
        .filter_map(|host| context.members.datacenter(host));
    let remote_datacenters: BTreeSet<DatacenterName> = datacenters
        .filter(|datacenter| datacenter != context.datacenter())
        .collect();
    for datacenter in &remote_datacenters {
        queried.extend(linked_hosts(context, datacenter).into_iter().next());
    }
    queried
}

fn linked_hosts(context: &HostContext, datacenter: &DatacenterName) -> Vec<HostName> {
    let alive = context.members.alive(datacenter);
    alive
        .into_iter()
        .filter(|host| context.links.is_connected(host))
        .collect()
}
