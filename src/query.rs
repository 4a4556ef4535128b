//! Questions to all hosts: sent out, collected and bounded in time.
//!
//! Hosts of the own data centre are asked directly. Of each other data centre one linked host is
//! asked, which answers for all hosts there, so a question costs one message per region link and
//! data centre.

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

/// The time after which hosts that have not answered are reported as silent.
pub const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// The time that a host has to collect the answers of its data centre for another one.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The rows of one host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HostRows {
    /// The host.
    pub host: HostName,
    /// Its rows; each has a value per column of the table that was asked for.
    pub rows: Vec<Vec<Value>>,
}

/// The answers of all hosts.
#[derive(Clone, Debug, Default)]
pub struct GatheredRows {
    /// The rows of the hosts that answered.
    pub answers: Vec<HostRows>,
    /// The live hosts that did not answer in time.
    pub silent: Vec<HostName>,
}

#[derive(Debug, Default)]
struct OpenQuery {
    missing: BTreeSet<HostName>,
    answers: Vec<HostRows>,
    complete: Rc<Notify>,
}

/// The questions of this host that wait for answers.
#[derive(Debug, Default)]
pub struct QueryTable {
    next: Cell<u64>,
    open: RefCell<BTreeMap<u64, OpenQuery>>,
}

impl QueryTable {
    /// Takes the answer of a host.
    pub fn answered(&self, number: u64, from: &HostName, rows: &str) {
        let mut open = self.open.borrow_mut();
        let Some(query) = open.get_mut(&number) else {
            return;
        };
        // Hosts run the same code, so an answer that can't be read is as good as none.
        let answers: Vec<HostRows> = serde_json::from_str(rows).unwrap_or_default();
        query.answers.extend(answers);
        query.missing.remove(from);
        if query.missing.is_empty() {
            query.complete.notify_one();
        }
    }

    fn start(&self, asked: &[HostName]) -> (u64, Rc<Notify>) {
        let number = self.next.get();
        self.next.set(number + 1);
        let query = OpenQuery {
            missing: asked.iter().cloned().collect(),
            ..OpenQuery::default()
        };
        let complete = Rc::clone(&query.complete);
        self.open.borrow_mut().insert(number, query);
        (number, complete)
    }

    fn finish(&self, number: u64) -> Vec<HostRows> {
        self.open
            .borrow_mut()
            .remove(&number)
            .map(|query| query.answers)
            .unwrap_or_default()
    }
}

/// Asks all live hosts, this one included.
pub async fn gather(context: &Rc<HostContext>, text: &str) -> GatheredRows {
    let asked = representatives(context);
    let mut answers = ask_hosts(context, &asked, text, QUERY_TIMEOUT).await;
    answers.push(own_rows(context, text));
    let heard: BTreeSet<&HostName> = answers.iter().map(|answer| &answer.host).collect();
    let alive = context.members.all_alive();
    let silent = alive
        .into_iter()
        .filter(|host| !heard.contains(host))
        .collect();
    GatheredRows { answers, silent }
}

/// Answers the question of another host, for the whole data centre if it stands in another one.
pub fn answer(context: &Rc<HostContext>, from: &HostName, number: u64, text: String) {
    let context = Rc::clone(context);
    let from = from.clone();
    actix_rt::spawn(async move {
        let mut answers = vec![own_rows(&context, &text)];
        if context.members.datacenter(&from).as_ref() != Some(context.datacenter()) {
            let neighbours = linked_hosts(&context, context.datacenter());
            answers.extend(ask_hosts(&context, &neighbours, &text, RELAY_TIMEOUT).await);
        }
        // Serialization to memory fails only for maps with keys that are not text.
        let rows = serde_json::to_string(&answers).unwrap_or_default();
        // The asker reports a host whose answer is lost as silent.
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

async fn ask_hosts(
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
        // A host that can't be reached is reported as silent.
        let _ = context.links.send(host, message);
    }
    // What has arrived by then is used; the rest is reported as silent.
    let _ = tokio::time::timeout(limit, complete.notified()).await;
    context.queries.finish(number)
}

fn representatives(context: &HostContext) -> Vec<HostName> {
    let mut asked = linked_hosts(context, context.datacenter());
    let hosts = context.members.all_alive();
    let elsewhere = hosts
        .iter()
        .filter_map(|host| context.members.datacenter(host));
    let others: BTreeSet<DatacenterName> = elsewhere
        .filter(|datacenter| datacenter != context.datacenter())
        .collect();
    for datacenter in &others {
        asked.extend(linked_hosts(context, datacenter).into_iter().next());
    }
    asked
}

fn linked_hosts(context: &HostContext, datacenter: &DatacenterName) -> Vec<HostName> {
    let alive = context.members.alive(datacenter);
    alive
        .into_iter()
        .filter(|host| context.links.is_connected(host))
        .collect()
}
