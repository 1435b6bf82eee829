//! Summarizes the load of a day from the nodes' JSON log lines: what became of requests, how fast
//! they were refused, and how evenly backend servers were used.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    error::Error,
    fs::File,
    io::{BufRead, BufReader},
};

use gumdrop::Options;
use jiff::Timestamp;
use serde_json::Value;

/// The length of the windows in which the load of servers is compared, in milliseconds.
const WINDOW_MS: i64 = 100;

/// Outcomes of requests that were served.
const SERVED: [&str; 2] = ["served", "streaming"];

/// Outcomes of requests that were refused without a run.
const REFUSED: [&str; 5] = ["no_place", "no_room", "over_share", "held", "not_informed"];

/// Prints what became of requests and how evenly servers were used, from JSON log lines.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "log files")]
    files: Vec<String>,
    #[options(
        help = "objective of requests in ms, where lines tell none",
        default = "300"
    )]
    objective_ms: u64,
    #[options(no_short, help = "objective of a route, as ROUTE=MS; may be repeated")]
    route: Vec<String>,
    #[options(help = "requests that a server runs at once", default = "6")]
    slots: i64,
}

/// Counts of one kind of request.
#[derive(Default)]
struct Counts {
    in_time: u64,
    late: u64,
    other: u64,
    refusal_ms: Vec<u64>,
}

/// A send to a server, as times in milliseconds.
struct Send {
    service: String,
    backend: String,
    request: String,
    begin: i64,
    end: i64,
}

/// What the lines say.
#[derive(Default)]
struct Day {
    kinds: BTreeMap<String, Counts>,
    /// Other messages, among them the reasons of refusals.
    others: BTreeMap<String, u64>,
    sends: Vec<Send>,
    outcomes: BTreeMap<(String, String), u64>,
    /// The end of each request, in milliseconds; that of a stream is later than its response.
    ends: HashMap<String, i64>,
    /// Refused requests by second.
    refusals: BTreeMap<i64, u64>,
}

fn main() -> Result<(), Box<dyn Error>> {
    let args = Args::parse_args_default_or_exit();
    let mut objectives = HashMap::new();
    for (route, ms) in args.route.iter().filter_map(|text| text.split_once('=')) {
        objectives.insert(route.to_owned(), ms.parse()?);
    }
    let mut day = Day::default();
    for file in &args.files {
        for line in BufReader::new(File::open(file)?).lines() {
            day.read_line(&line?, &args, &objectives);
        }
    }
    day.print(args.slots);
    Ok(())
}

/// Returns the JSON part of a line, which a time and a node's name may precede.
fn parse_line(line: &str) -> Option<Value> {
    serde_json::from_str(&line[line.find('{')?..]).ok()
}

fn text<'a>(line: &'a Value, name: &str) -> &'a str {
    line[name].as_str().unwrap_or("")
}

impl Day {
    fn read_line(&mut self, line: &str, args: &Args, objectives: &HashMap<String, u64>) {
        let Some(line) = parse_line(line) else {
            return;
        };
        let time: Option<Timestamp> = text(&line, "ts").parse().ok();
        let at = time.map_or(0, Timestamp::as_millisecond);
        match text(&line, "msg") {
            "request" => {
                let known = objectives.get(text(&line, "route")).copied();
                let stated = line["objective_ms"].as_u64();
                let objective = stated.or(known).unwrap_or(args.objective_ms);
                self.count_request(&line, at, objective);
            }
            "sent" => self.count_send(&line, at),
            other => *self.others.entry(other.to_owned()).or_default() += 1,
        }
    }

    fn count_request(&mut self, line: &Value, at: i64, objective: u64) {
        let outcome = text(line, "outcome");
        let age = line["age_ms"].as_u64().unwrap_or(0);
        self.ends.insert(text(line, "request").to_owned(), at);
        let priority = line["priority"].as_u64().map(|p| format!(" priority {p}"));
        let kind = "route ".to_owned() + text(line, "route") + &priority.unwrap_or_default();
        let account = format!("account {}", text(line, "tenant"));
        // A stream that has begun was counted by the line on its first event.
        if ["completed", "broken", "handed_over"].contains(&outcome) {
            return;
        }
        let (served, refused) = (SERVED.contains(&outcome), REFUSED.contains(&outcome));
        if refused {
            *self.refusals.entry(at.div_euclid(1000)).or_default() += 1;
        }
        for key in [kind, account] {
            let counts = self.kinds.entry(key).or_default();
            counts.in_time += u64::from(served && age <= objective);
            counts.late += u64::from(served && age > objective);
            counts.other += u64::from(!served && !refused);
            counts.refusal_ms.extend(refused.then_some(age));
        }
    }

    fn count_send(&mut self, line: &Value, at: i64) {
        let (service, outcome) = (text(line, "service"), text(line, "outcome"));
        let key = (service.to_owned(), outcome.to_owned());
        *self.outcomes.entry(key).or_default() += 1;
        if ["not_run", "unreached"].contains(&outcome) {
            return;
        }
        self.sends.push(Send {
            service: service.to_owned(),
            backend: text(line, "backend").to_owned(),
            request: text(line, "request").to_owned(),
            begin: at - line["took_ms"].as_i64().unwrap_or(0),
            end: at,
        });
    }

    fn print(&mut self, slots: i64) {
        println!("| kind | requests | in time | late | refused | other | refusal p50 / p99 ms |");
        println!("| --- | --- | --- | --- | --- | --- | --- |");
        for (kind, counts) in &mut self.kinds {
            counts.refusal_ms.sort_unstable();
            let refused = counts.refusal_ms.len() as u64;
            let all = counts.in_time + counts.late + refused + counts.other;
            let [p50, p99] = [0.5, 0.99].map(|q| quantile(&counts.refusal_ms, q));
            print!("| {kind} | {all} | {} | {} ", counts.in_time, counts.late);
            println!("| {refused} | {} | {p50} / {p99} |", counts.other);
        }
        println!("\nOther messages: {:?}", self.others);
        let start = self.refusals.keys().next().copied().unwrap_or(0);
        let by_second: Vec<String> = self
            .refusals
            .iter()
            .map(|(second, count)| format!("{}s:{count}", second - start))
            .collect();
        println!(
            "Refusals by second after the first: {}",
            by_second.join(" ")
        );
        println!("Sends by service and outcome: {:?}", self.outcomes);
        let services: BTreeSet<String> =
            self.sends.iter().map(|send| send.service.clone()).collect();
        println!(
            "\n| service | servers | p99 over mean | sent to a full server beside a free one |"
        );
        println!("| --- | --- | --- | --- |");
        for service in services {
            self.print_evenness(&service, slots);
        }
    }

    /// Prints how evenly the servers of a service were used: by the time that requests spent at each
    /// in a window, and by the sends to a server without a free slot while another one had some.
    fn print_evenness(&self, service: &str, slots: i64) {
        let sends: Vec<&Send> = self.sends.iter().filter(|s| s.service == service).collect();
        let servers: BTreeSet<&str> = sends.iter().map(|s| s.backend.as_str()).collect();
        let mut spent: BTreeMap<i64, HashMap<&str, u64>> = BTreeMap::new();
        let mut steps: Vec<(i64, i64, &str)> = Vec::new();
        for send in &sends {
            let end = self
                .ends
                .get(&send.request)
                .map_or(send.end, |end| *end.max(&send.end));
            steps.extend([(send.begin, 1, &*send.backend), (end, -1, &*send.backend)]);
            for window in send.begin.div_euclid(WINDOW_MS)..=end.div_euclid(WINDOW_MS) {
                let from = send.begin.max(window * WINDOW_MS);
                let ms = end.min((window + 1) * WINDOW_MS) - from;
                *spent
                    .entry(window)
                    .or_default()
                    .entry(&send.backend)
                    .or_default() += ms as u64;
            }
        }
        let in_window = |window: &HashMap<&str, u64>| -> Vec<u64> {
            servers
                .iter()
                .map(|s| window.get(s).copied().unwrap_or(0))
                .collect()
        };
        let mut times: Vec<u64> = spent.values().flat_map(in_window).collect();
        times.sort_unstable();
        let mean = times.iter().sum::<u64>() as f64 / times.len().max(1) as f64;
        steps.sort_unstable();
        let mut open: HashMap<&str, i64> = servers.iter().map(|s| (*s, 0)).collect();
        let mut waited = 0;
        for (_, change, server) in steps {
            waited += u64::from(
                change > 0 && open[server] >= slots && open.values().any(|open| *open < slots),
            );
            *open.entry(server).or_default() += change;
        }
        let (count, all) = (servers.len(), sends.len());
        let p99 = quantile(&times, 0.99) as f64 / mean;
        println!("| {service} | {count} | {p99:.2} | {waited} of {all} |");
    }
}

/// Returns a quantile of sorted values.
fn quantile(sorted: &[u64], quantile: f64) -> u64 {
    let index = (sorted.len() as f64 * quantile) as usize;
    sorted
        .get(index.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0)
}
