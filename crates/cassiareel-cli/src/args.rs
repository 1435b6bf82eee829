//! Command-line options and subcommands.

use std::path::PathBuf;

use gumdrop::Options;

/// Edits the settings of a cassiareel deployment and queries its nodes.
///
/// To change settings:
///
///   cassiareel settings get tree.toml       write the accepted tree with its revision
///   (edit tree.toml)
///   cassiareel settings diff tree.toml      show what would change
///   cassiareel settings apply tree.toml --wait
///
/// Global options may be given anywhere. All but --json can be set by environment variables:
/// CASSIAREEL_OBJECT_API, CASSIAREEL_NODES, CASSIAREEL_KEY, CASSIAREEL_AUTHOR.
///
/// Exit codes: 0 success; 1 refused, nothing changed; 2 wrong command line; 3 conflict with another
/// edit, nothing changed; 4 object API or node not reached; 5 unknown whether the change was made;
/// 6 change made, but not in force everywhere yet.
#[derive(Clone, Debug, Default, Options)]
pub struct Args {
    /// Print this help, or that of a command.
    pub help: bool,
    /// Print the result as JSON.
    #[options(no_short)]
    pub json: bool,
    /// Address of the platform's object API.
    #[options(meta = "ADDR", no_short)]
    pub object_api: Option<String>,
    /// Control addresses of nodes, separated by commas.
    #[options(meta = "ADDRS", no_short)]
    pub nodes: Option<String>,
    /// Operator key for nodes; prefer CASSIAREEL_KEY, since process lists show arguments.
    #[options(meta = "KEY", no_short)]
    pub key: Option<String>,
    /// Your name, recorded in the history.
    #[options(meta = "NAME", no_short)]
    pub author: Option<String>,
    /// The command.
    #[options(command)]
    pub command: Option<Command>,
}

/// The commands.
#[derive(Clone, Debug, Options)]
pub enum Command {
    /// Commands on the tree of settings.
    #[options(help = "check, compare, apply and show the tree of settings")]
    Settings(SettingsArgs),
    /// Commands on client accounts.
    #[options(help = "list, add and remove client accounts")]
    Accounts(AccountsArgs),
    /// Commands on keys.
    #[options(help = "list, add and remove keys of callers and operators")]
    Keys(KeysArgs),
    /// Shows the status of nodes.
    #[options(help = "show each node and the revision that it has in force")]
    Status(HelpArgs),
    /// Lists backend servers.
    #[options(help = "list backend servers by service, version and data centre")]
    Servers(ServiceArgs),
    /// Lists versions.
    #[options(help = "list versions and the traffic that each gets")]
    Versions(ServiceArgs),
    /// Commands on moves between versions.
    #[options(help = "move traffic between versions: start, status, wait, pause, resume, cancel")]
    Move(MoveArgs),
    /// Commands on orders with unknown outcome.
    #[options(help = "list, query and settle orders whose outcome is unknown")]
    Orders(OrdersArgs),
    /// Explains how a request was routed.
    #[options(help = "explain why a request was routed as it was")]
    Explain(ExplainArgs),
    /// Shows the duties of the relay.
    #[options(
        help = "show who holds the relay's duties, the last usage windows and server orders"
    )]
    Duties(DutiesArgs),
}

/// Takes no arguments.
#[derive(Clone, Debug, Default, Options)]
pub struct HelpArgs {
    /// Print this help.
    pub help: bool,
}

/// Commands on the tree of settings.
#[derive(Clone, Debug, Default, Options)]
pub struct SettingsArgs {
    /// Print this help.
    pub help: bool,
    /// The command.
    #[options(command)]
    pub command: Option<SettingsCommand>,
}

/// The commands on the tree of settings.
#[derive(Clone, Debug, Options)]
pub enum SettingsCommand {
    /// Validates a file.
    #[options(help = "check a file and list every error; changes nothing")]
    Validate(FileArgs),
    /// Compares a file with another or with the accepted tree.
    #[options(help = "show what a file would change, path by path")]
    Diff(DiffArgs),
    /// Writes the accepted tree.
    #[options(help = "write the accepted tree to a file for editing")]
    Get(GetArgs),
    /// Applies a file.
    #[options(help = "make a file the next revision, or report why it is refused")]
    Apply(ApplyArgs),
    /// Shows a node of the tree.
    #[options(help = "show a node of the tree; with --origin also where each value is set")]
    Show(ShowArgs),
    /// Shows the history of revisions.
    #[options(help = "list revisions, or show what one of them changed")]
    History(HistoryArgs),
}

/// Checks a file of settings and lists every error.
#[derive(Clone, Debug, Default, Options)]
pub struct FileArgs {
    /// Print this help.
    pub help: bool,
    /// A tree of settings in TOML.
    #[options(free, required)]
    pub file: String,
}

/// Compares a file with the accepted tree or with another file.
#[derive(Clone, Debug, Default, Options)]
pub struct DiffArgs {
    /// Print this help.
    pub help: bool,
    /// The edited tree.
    #[options(free, required)]
    pub file: String,
    /// The tree to compare with; the accepted one by default.
    #[options(free)]
    pub other: Option<String>,
}

/// Writes the accepted tree to a file for editing.
#[derive(Clone, Debug, Default, Options)]
pub struct GetArgs {
    /// Print this help.
    pub help: bool,
    /// The file to write; standard output by default.
    #[options(free)]
    pub file: Option<String>,
}

/// Makes a file the next revision of the settings.
#[derive(Clone, Debug, Default, Options)]
pub struct ApplyArgs {
    /// Print this help.
    pub help: bool,
    /// The edited tree, in the format that `settings get` writes.
    #[options(free, required)]
    pub file: String,
    /// The revision that the file was made from, if the file does not name it.
    #[options(meta = "REVISION", no_short)]
    pub base: Option<u64>,
    /// Rebase the edit on newer ones if they change different paths.
    #[options(no_short)]
    pub rebase: bool,
    /// The purpose of the edit, recorded in the history.
    #[options(meta = "TEXT", no_short)]
    pub note: Option<String>,
    /// Wait until every node of --nodes has the revision in force, and list those that have not.
    #[options(no_short)]
    pub wait: bool,
    /// How long to wait, such as 10s, which is the default.
    #[options(meta = "TIME", no_short)]
    pub timeout: Option<String>,
}

/// Shows a node of the tree of settings.
#[derive(Clone, Debug, Default, Options)]
pub struct ShowArgs {
    /// Print this help.
    pub help: bool,
    /// A path, such as accounts.mira.callers.web; the whole tree by default.
    #[options(free)]
    pub path: Option<String>,
    /// Show each value that applies at the path, and the node of the tree that sets it.
    #[options(no_short)]
    pub origin: bool,
    /// With --origin, for requests to this service.
    #[options(meta = "NAME", no_short)]
    pub service: Option<String>,
    /// With --origin, for requests to this version of the service.
    #[options(meta = "NAME", no_short)]
    pub version: Option<String>,
    /// With --origin, for requests that arrive at nodes in this data centre.
    #[options(meta = "NAME", no_short)]
    pub data_centre: Option<String>,
    /// Show the tree of this file instead of the accepted one.
    #[options(meta = "FILE", no_short)]
    pub file: Option<String>,
}

/// Lists revisions, or shows what one of them changed.
#[derive(Clone, Debug, Default, Options)]
pub struct HistoryArgs {
    /// Print this help.
    pub help: bool,
    /// Show what this revision changed; list all revisions by default.
    #[options(free)]
    pub revision: Option<u64>,
}

/// Commands on client accounts.
#[derive(Clone, Debug, Default, Options)]
pub struct AccountsArgs {
    /// Print this help.
    pub help: bool,
    /// The command.
    #[options(command)]
    pub command: Option<AccountsCommand>,
}

/// The commands on client accounts.
#[derive(Clone, Debug, Options)]
pub enum AccountsCommand {
    /// Lists client accounts.
    #[options(help = "list client accounts, their services and callers")]
    List(HelpArgs),
    /// Adds a client account.
    #[options(help = "add a client account")]
    Add(AccountArgs),
    /// Removes a client account.
    #[options(help = "remove a client account with its callers and keys")]
    Remove(AccountArgs),
}

/// Adds or removes a client account.
#[derive(Clone, Debug, Default, Options)]
pub struct AccountArgs {
    /// Print this help.
    pub help: bool,
    /// The name of the client account.
    #[options(free, required)]
    pub name: String,
    /// Services that it may use, separated by commas.
    #[options(meta = "NAMES", no_short)]
    pub services: Option<String>,
}

/// Commands on keys.
#[derive(Clone, Debug, Default, Options)]
pub struct KeysArgs {
    /// Print this help.
    pub help: bool,
    /// The command.
    #[options(command)]
    pub command: Option<KeysCommand>,
}

/// The commands on keys.
#[derive(Clone, Debug, Options)]
pub enum KeysCommand {
    /// Lists keys.
    #[options(help = "list names and digests of keys; the keys themselves are not stored")]
    List(HelpArgs),
    /// Adds a key.
    #[options(help = "generate a key, print it once, and store its digest")]
    Add(KeyArgs),
    /// Removes a key.
    #[options(help = "remove a key; requests that use it are refused from then on")]
    Remove(KeyArgs),
}

/// Adds or removes a key of a caller (`ACCOUNT CALLER`) or an operator (`--operator NAME`).
#[derive(Clone, Debug, Default, Options)]
pub struct KeyArgs {
    /// Print this help.
    pub help: bool,
    /// The client account.
    #[options(free)]
    pub account: Option<String>,
    /// The caller in the client account; added if it does not exist.
    #[options(free)]
    pub caller: Option<String>,
    /// The operator that owns the key.
    #[options(meta = "NAME", no_short)]
    pub operator: Option<String>,
    /// The name of the key, unique for its owner; `first` by default.
    #[options(meta = "NAME", no_short)]
    pub name: Option<String>,
}

/// Lists the backend servers or the versions of a service.
#[derive(Clone, Debug, Default, Options)]
pub struct ServiceArgs {
    /// Print this help.
    pub help: bool,
    /// The service; all services by default.
    #[options(free)]
    pub service: Option<String>,
}

/// Commands on moves.
#[derive(Clone, Debug, Default, Options)]
pub struct MoveArgs {
    /// Print this help.
    pub help: bool,
    /// The command.
    #[options(command)]
    pub command: Option<MoveCommand>,
}

/// The commands on moves.
#[derive(Clone, Debug, Options)]
pub enum MoveCommand {
    /// Starts a move.
    #[options(help = "start a move, or report why it can't be completed in time")]
    Start(MoveStartArgs),
    /// Shows the latest move.
    #[options(help = "show the state of the latest move of a service, and the reason")]
    Status(MoveServiceArgs),
    /// Waits for the end of the latest move.
    #[options(help = "wait until the move is done (0), rolled back (1) or out of time (6)")]
    Wait(MoveWaitArgs),
    /// Pauses a move.
    #[options(help = "keep the traffic shares as they are; the judge keeps running")]
    Pause(MoveServiceArgs),
    /// Resumes a paused move.
    #[options(help = "let the traffic shares of a paused move rise again")]
    Resume(MoveServiceArgs),
    /// Cancels a move.
    #[options(help = "return all traffic to the proven version")]
    Cancel(MoveServiceArgs),
    /// Lists the changes of all moves.
    #[options(help = "list every state change of the moves of a service")]
    History(MoveServiceArgs),
}

/// Shows or changes the moves of a service.
#[derive(Clone, Debug, Default, Options)]
pub struct MoveServiceArgs {
    /// Print this help.
    pub help: bool,
    /// The service.
    #[options(free, required)]
    pub service: String,
}

/// Waits until the latest move of a service has ended.
#[derive(Clone, Debug, Default, Options)]
pub struct MoveWaitArgs {
    /// Print this help.
    pub help: bool,
    /// The service.
    #[options(free, required)]
    pub service: String,
    /// How long to wait, such as 30min; an hour by default.
    #[options(meta = "TIME", no_short)]
    pub timeout: Option<String>,
}

/// Starts a move of traffic to another version of a service.
#[derive(Clone, Debug, Default, Options)]
pub struct MoveStartArgs {
    /// Print this help.
    pub help: bool,
    /// The service.
    #[options(free, required)]
    pub service: String,
    /// The new version.
    #[options(meta = "VERSION", no_short, required)]
    pub to: String,
    /// The time within which the move must be done, such as 30min.
    #[options(meta = "TIME", no_short, required)]
    pub by: String,
    /// The proven version; by default the one that the traffic uses now.
    #[options(meta = "VERSION", no_short)]
    pub from: Option<String>,
    /// Move only the traffic of this client account.
    #[options(meta = "NAME", no_short)]
    pub account: Option<String>,
    /// Move only the traffic of this caller; requires --account.
    #[options(meta = "NAME", no_short)]
    pub caller: Option<String>,
    /// Move only the traffic of this route.
    #[options(meta = "PATH", no_short)]
    pub route: Option<String>,
    /// Move only the traffic that arrives at nodes in this data centre.
    #[options(meta = "NAME", no_short)]
    pub data_centre: Option<String>,
    /// The time to load the version on one backend server; 1min by default.
    #[options(meta = "TIME", no_short)]
    pub load_time: Option<String>,
}

/// Commands on orders whose outcome is unknown.
#[derive(Clone, Debug, Default, Options)]
pub struct OrdersArgs {
    /// Print this help.
    pub help: bool,
    /// The command.
    #[options(command)]
    pub command: Option<OrdersCommand>,
}

/// The commands on orders.
#[derive(Clone, Debug, Options)]
pub enum OrdersCommand {
    /// Lists open orders.
    #[options(help = "list orders that are in progress or of unknown outcome, oldest first")]
    List(HelpArgs),
    /// Queries the service.
    #[options(help = "query the service about the outcome of an order; changes nothing")]
    Ask(OrderArgs),
    /// Settles an order.
    #[options(help = "record for good whether an order ran, after checking the service's records")]
    Settle(SettleArgs),
}

/// Queries the service about the outcome of an order.
#[derive(Clone, Debug, Default, Options)]
pub struct OrderArgs {
    /// Print this help.
    pub help: bool,
    /// The name of the order, or a prefix that no other order has.
    #[options(free, required)]
    pub order: String,
}

/// Records for good whether an order ran.
#[derive(Clone, Debug, Default, Options)]
pub struct SettleArgs {
    /// Print this help.
    pub help: bool,
    /// The name of the order, or a prefix that no other order has.
    #[options(free, required)]
    pub order: String,
    /// The service ran the order.
    #[options(no_short)]
    pub ran: bool,
    /// The service did not run the order.
    #[options(no_short)]
    pub not_run: bool,
}

/// Explains why a request was routed as it was.
#[derive(Clone, Debug, Default, Options)]
pub struct ExplainArgs {
    /// Print this help.
    pub help: bool,
    /// A log file to read instead of querying nodes; may be repeated.
    #[options(no_short, meta = "FILE")]
    pub logs: Vec<PathBuf>,
    /// The request's id from the answer's `x-request-id` header, or the caller's own id.
    #[options(free, required)]
    pub request: String,
}

/// Shows, from the logs of the relay's nodes, who holds the duties and what was done.
#[derive(Clone, Debug, Default, Options)]
pub struct DutiesArgs {
    /// Print this help.
    pub help: bool,
    /// A log file to read; may be repeated.
    #[options(no_short, meta = "FILE")]
    pub logs: Vec<PathBuf>,
    /// More log files.
    #[options(free)]
    pub files: Vec<PathBuf>,
}

/// Global options that take no value.
const GLOBAL_FLAGS: [&str; 1] = ["--json"];

/// Global options that take a value.
const GLOBAL_VALUE_OPTIONS: [&str; 4] = ["--object-api", "--nodes", "--key", "--author"];

/// Moves global options before the commands, so that they may be given anywhere.
///
/// # Examples
///
/// ```
/// use cassiareel_cli::globals_first;
///
/// let args = ["status", "--nodes", "10.0.0.1:80", "--json"].map(String::from);
/// assert_eq!(globals_first(&args), ["--nodes", "10.0.0.1:80", "--json", "status"]);
/// ```
pub fn globals_first(args: &[String]) -> Vec<String> {
    let mut globals = Vec::new();
    let mut rest = Vec::new();
    let mut args = args.iter();
    while let Some(arg) = args.next() {
        let name = arg.split('=').next().unwrap_or_default();
        if GLOBAL_FLAGS.contains(&arg.as_str()) {
            globals.push(arg.clone());
        } else if GLOBAL_VALUE_OPTIONS.contains(&name) {
            globals.push(arg.clone());
            if !arg.contains('=') {
                globals.extend(args.next().cloned());
            }
        } else {
            rest.push(arg.clone());
        }
    }
    globals.append(&mut rest);
    globals
}

impl Args {
    /// Returns the help text of the innermost command given, or `None` if a command is to run.
    ///
    /// Help is also returned for a group of commands without one of its commands.
    pub fn help_text(&self) -> Option<String> {
        let complete = self
            .command
            .as_ref()
            .is_some_and(|c| !is_incomplete_group(c));
        if complete && !self.help_requested() {
            return None;
        }
        let mut name = "cassiareel".to_owned();
        let mut deepest: &dyn Options = self;
        while let Some(next) = deepest.command() {
            if let Some(command) = next.command_name() {
                name = format!("{name} {command}");
            }
            deepest = next;
        }
        Some(format_help(deepest, &name))
    }
}

/// Reports whether a group of commands was given without one of its commands.
fn is_incomplete_group(command: &Command) -> bool {
    match command {
        Command::Settings(args) => args.command.is_none(),
        Command::Accounts(args) => args.command.is_none(),
        Command::Keys(args) => args.command.is_none(),
        Command::Orders(args) => args.command.is_none(),
        Command::Move(args) => args.command.is_none(),
        _ => false,
    }
}

fn format_help(options: &dyn Options, name: &str) -> String {
    let mut text = format!("Usage: {name} [OPTIONS]\n\n{}", options.self_usage());
    if let Some(list) = options.self_command_list() {
        text = format!("{text}\n\nCommands (`{name} COMMAND --help` shows more):\n{list}");
    }
    text
}
