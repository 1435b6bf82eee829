//! The command line.

use std::path::PathBuf;

use gumdrop::Options;

/// Edits the settings of a cassiareel deployment and asks its nodes.
///
/// The usual way to change something:
///
///   cassiareel settings get tree.toml       write the accepted tree, with its revision
///   (edit tree.toml)
///   cassiareel settings diff tree.toml      see what would change
///   cassiareel settings apply tree.toml --wait
///
/// Global options may stand anywhere, and each has an environment variable:
/// CASSIAREEL_OBJECT_API, CASSIAREEL_NODES, CASSIAREEL_KEY, CASSIAREEL_AUTHOR.
///
/// Exit codes: 0 done; 1 refused, nothing changed; 2 wrong command line; 3 others have edited
/// meanwhile, nothing changed; 4 object API or node not reached; 5 not known whether the change was
/// made; 6 made, but not in force everywhere yet.
#[derive(Clone, Debug, Default, Options)]
pub struct Args {
    /// Print this help, or a command's.
    pub help: bool,
    /// Print JSON.
    #[options(no_short)]
    pub json: bool,
    /// The platform's object API.
    #[options(meta = "ADDR", no_short)]
    pub object_api: Option<String>,
    /// Control addresses of nodes, with commas between them.
    #[options(meta = "ADDRS", no_short)]
    pub nodes: Option<String>,
    /// Your operator's key, for nodes; better in CASSIAREEL_KEY, where no process list shows it.
    #[options(meta = "KEY", no_short)]
    pub key: Option<String>,
    /// Your name, for the history.
    #[options(meta = "NAME", no_short)]
    pub author: Option<String>,
    /// The command.
    #[options(command)]
    pub command: Option<Command>,
}

/// A command.
#[derive(Clone, Debug, Options)]
pub enum Command {
    /// The tree of settings.
    #[options(help = "check, compare, apply and show the tree of settings")]
    Settings(SettingsArgs),
    /// Client accounts.
    #[options(help = "list, add and remove client accounts")]
    Accounts(AccountsArgs),
    /// Keys.
    #[options(help = "list, add and remove keys of callers and operators")]
    Keys(KeysArgs),
    /// The nodes.
    #[options(help = "show each node, and which revision it has in force")]
    Status(HelpArgs),
    /// Backend servers.
    #[options(help = "list backend servers by service, version and data centre")]
    Servers(ServiceArgs),
    /// Versions.
    #[options(help = "list versions, and who is sent to each")]
    Versions(ServiceArgs),
    /// Moves between versions.
    #[options(help = "move traffic between versions: start, status, wait, pause, resume, cancel")]
    Move(MoveArgs),
    /// Orders with unknown outcome.
    #[options(help = "list, ask about and settle orders whose outcome is not known")]
    Orders(OrdersArgs),
    /// One request.
    #[options(help = "say why a request went where it went")]
    Explain(ExplainArgs),
}

/// Asks for nothing more.
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

/// A command on the tree of settings.
#[derive(Clone, Debug, Options)]
pub enum SettingsCommand {
    /// Checks a file.
    #[options(help = "check a file and name every fault; changes nothing")]
    Validate(FileArgs),
    /// Compares.
    #[options(help = "show what a file would change, by path")]
    Diff(DiffArgs),
    /// Writes the accepted tree.
    #[options(help = "write the accepted tree to a file, to edit it")]
    Get(GetArgs),
    /// Accepts a file.
    #[options(help = "make a file the next revision, or say why not")]
    Apply(ApplyArgs),
    /// Shows a node of the tree.
    #[options(help = "show a node of the tree, and with --origin where each value comes from")]
    Show(ShowArgs),
    /// Shows revisions.
    #[options(help = "list revisions, or show what one changed")]
    History(HistoryArgs),
}

/// A file.
#[derive(Clone, Debug, Default, Options)]
pub struct FileArgs {
    /// Print this help.
    pub help: bool,
    /// The tree in TOML.
    #[options(free, required)]
    pub file: String,
}

/// What to compare.
#[derive(Clone, Debug, Default, Options)]
pub struct DiffArgs {
    /// Print this help.
    pub help: bool,
    /// The edited tree.
    #[options(free, required)]
    pub file: String,
    /// The tree to compare with; without it, the accepted one.
    #[options(free)]
    pub other: Option<String>,
}

/// Where to write.
#[derive(Clone, Debug, Default, Options)]
pub struct GetArgs {
    /// Print this help.
    pub help: bool,
    /// The file; without it, the standard output.
    #[options(free)]
    pub file: Option<String>,
}

/// How to apply.
#[derive(Clone, Debug, Default, Options)]
pub struct ApplyArgs {
    /// Print this help.
    pub help: bool,
    /// The edited tree, as `settings get` wrote it.
    #[options(free, required)]
    pub file: String,
    /// The revision that the file was made from, where it does not say.
    #[options(meta = "REVISION", no_short)]
    pub base: Option<u64>,
    /// Make the edit on top of others' where they touch different paths.
    #[options(no_short)]
    pub rebase: bool,
    /// What the edit is for, for the history.
    #[options(meta = "TEXT", no_short)]
    pub note: Option<String>,
    /// Return when every node of --nodes has it in force, and name those that have not.
    #[options(no_short)]
    pub wait: bool,
    /// How long to wait, such as 10s.
    #[options(meta = "TIME", no_short)]
    pub timeout: Option<String>,
}

/// What to show.
#[derive(Clone, Debug, Default, Options)]
pub struct ShowArgs {
    /// Print this help.
    pub help: bool,
    /// A path, such as accounts.mira.callers.web; without it, the whole tree.
    #[options(free)]
    pub path: Option<String>,
    /// Show each value that holds at the path, and the node that says it.
    #[options(no_short)]
    pub origin: bool,
    /// With --origin, for requests to this service.
    #[options(meta = "NAME", no_short)]
    pub service: Option<String>,
    /// With --origin, for requests to this version of the service.
    #[options(meta = "NAME", no_short)]
    pub version: Option<String>,
    /// With --origin, for requests that come to nodes in this data centre.
    #[options(meta = "NAME", no_short)]
    pub data_centre: Option<String>,
    /// Show this file's tree, and not the accepted one.
    #[options(meta = "FILE", no_short)]
    pub file: Option<String>,
}

/// Which revisions.
#[derive(Clone, Debug, Default, Options)]
pub struct HistoryArgs {
    /// Print this help.
    pub help: bool,
    /// Show what this revision changed.
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

/// A command on client accounts.
#[derive(Clone, Debug, Options)]
pub enum AccountsCommand {
    /// Lists them.
    #[options(help = "list client accounts, their services and callers")]
    List(HelpArgs),
    /// Adds one.
    #[options(help = "add a client account")]
    Add(AccountArgs),
    /// Removes one.
    #[options(help = "remove a client account with its callers and keys")]
    Remove(AccountArgs),
}

/// A client account.
#[derive(Clone, Debug, Default, Options)]
pub struct AccountArgs {
    /// Print this help.
    pub help: bool,
    /// Its name.
    #[options(free, required)]
    pub name: String,
    /// Services that it may use, with commas between them.
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

/// A command on keys.
#[derive(Clone, Debug, Options)]
pub enum KeysCommand {
    /// Lists them.
    #[options(help = "list names and digests of keys; the keys themselves are kept nowhere")]
    List(HelpArgs),
    /// Adds one.
    #[options(help = "make a key, print it this once, and keep its digest")]
    Add(KeyArgs),
    /// Removes one.
    #[options(help = "remove a key: requests with it are refused from then on")]
    Remove(KeyArgs),
}

/// Whose key: `ACCOUNT CALLER`, or `--operator NAME`.
#[derive(Clone, Debug, Default, Options)]
pub struct KeyArgs {
    /// Print this help.
    pub help: bool,
    /// The client account.
    #[options(free)]
    pub account: Option<String>,
    /// The caller beneath it, which is added where it is not there.
    #[options(free)]
    pub caller: Option<String>,
    /// The operator whose key it is.
    #[options(meta = "NAME", no_short)]
    pub operator: Option<String>,
    /// The key's name, unique for its caller.
    #[options(meta = "NAME", no_short)]
    pub name: Option<String>,
}

/// A service.
#[derive(Clone, Debug, Default, Options)]
pub struct ServiceArgs {
    /// Print this help.
    pub help: bool,
    /// The service; without it, all.
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

/// A command on moves.
#[derive(Clone, Debug, Options)]
pub enum MoveCommand {
    /// Starts one.
    #[options(help = "start a move, or say at once why it can't be done in time")]
    Start(MoveStartArgs),
    /// Tells where it stands.
    #[options(help = "tell where the latest move of a service stands, and why")]
    Status(MoveServiceArgs),
    /// Waits for its end.
    #[options(help = "return when it is done (0), taken back (1) or not ended in time (6)")]
    Wait(MoveWaitArgs),
    /// Holds the shares.
    #[options(help = "hold the shares where they are; the judge goes on")]
    Pause(MoveServiceArgs),
    /// Lets the shares rise.
    #[options(help = "let the shares of a paused move rise again")]
    Resume(MoveServiceArgs),
    /// Takes it back.
    #[options(help = "give all traffic back to the proven version")]
    Cancel(MoveServiceArgs),
    /// Lists changes.
    #[options(help = "list what happened to the moves of a service")]
    History(MoveServiceArgs),
}

/// The service whose move it is.
#[derive(Clone, Debug, Default, Options)]
pub struct MoveServiceArgs {
    /// Print this help.
    pub help: bool,
    /// The service.
    #[options(free, required)]
    pub service: String,
}

/// How long to wait for a move.
#[derive(Clone, Debug, Default, Options)]
pub struct MoveWaitArgs {
    /// Print this help.
    pub help: bool,
    /// The service.
    #[options(free, required)]
    pub service: String,
    /// How long to wait, such as 30min; without it, an hour.
    #[options(meta = "TIME", no_short)]
    pub timeout: Option<String>,
}

/// What to move.
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
    /// The time in which it is to be done, such as 30min.
    #[options(meta = "TIME", no_short, required)]
    pub by: String,
    /// The proven version; without it, the one that the traffic has.
    #[options(meta = "VERSION", no_short)]
    pub from: Option<String>,
    /// Move this client account's traffic only.
    #[options(meta = "NAME", no_short)]
    pub account: Option<String>,
    /// Move this caller's traffic only; needs --account.
    #[options(meta = "NAME", no_short)]
    pub caller: Option<String>,
    /// Move this route's traffic only.
    #[options(meta = "PATH", no_short)]
    pub route: Option<String>,
    /// Move the traffic that comes to nodes in this data centre only.
    #[options(meta = "NAME", no_short)]
    pub data_centre: Option<String>,
    /// The time that loading the version takes at one backend server; without it, 1min.
    #[options(meta = "TIME", no_short)]
    pub load_time: Option<String>,
}

/// Commands on orders whose outcome is not known.
#[derive(Clone, Debug, Default, Options)]
pub struct OrdersArgs {
    /// Print this help.
    pub help: bool,
    /// The command.
    #[options(command)]
    pub command: Option<OrdersCommand>,
}

/// A command on orders.
#[derive(Clone, Debug, Options)]
pub enum OrdersCommand {
    /// Lists them.
    #[options(help = "list orders that are unknown or under way, the oldest first")]
    List(HelpArgs),
    /// Asks the service.
    #[options(help = "ask the service what became of an order; changes nothing")]
    Ask(OrderArgs),
    /// Settles one.
    #[options(help = "say for good whether an order ran, after looking in the service's books")]
    Settle(SettleArgs),
}

/// An order.
#[derive(Clone, Debug, Default, Options)]
pub struct OrderArgs {
    /// Print this help.
    pub help: bool,
    /// The order's name, or as much of its beginning as no other has.
    #[options(free, required)]
    pub order: String,
}

/// An order and what became of it.
#[derive(Clone, Debug, Default, Options)]
pub struct SettleArgs {
    /// Print this help.
    pub help: bool,
    /// The order's name, or as much of its beginning as no other has.
    #[options(free, required)]
    pub order: String,
    /// The service ran it.
    #[options(no_short)]
    pub ran: bool,
    /// The service did not run it.
    #[options(no_short)]
    pub not_run: bool,
}

/// A request.
#[derive(Clone, Debug, Default, Options)]
pub struct ExplainArgs {
    /// Print this help.
    pub help: bool,
    /// A log file to read instead of asking nodes; may be given more than once.
    #[options(no_short, meta = "FILE")]
    pub logs: Vec<PathBuf>,
    /// The request's name, as its answer's `x-request-id` gives it, or the caller's own id.
    #[options(free, required)]
    pub request: String,
}

/// Global options that stand without a value.
const GLOBAL_FLAGS: [&str; 1] = ["--json"];

/// Global options that take a value.
const GLOBAL_VALUE_OPTIONS: [&str; 4] = ["--object-api", "--nodes", "--key", "--author"];

/// Puts global options before the commands, so that they may stand anywhere.
///
/// # Examples
///
/// ```
/// use cassiareel_cli::globals_first;
///
/// let words = ["status", "--nodes", "10.0.0.1:80", "--json"].map(String::from);
/// assert_eq!(globals_first(&words), ["--nodes", "10.0.0.1:80", "--json", "status"]);
/// ```
pub fn globals_first(words: &[String]) -> Vec<String> {
    let mut globals = Vec::new();
    let mut rest = Vec::new();
    let mut words = words.iter();
    while let Some(word) = words.next() {
        let name = word.split('=').next().unwrap_or_default();
        if GLOBAL_FLAGS.contains(&word.as_str()) {
            globals.push(word.clone());
        } else if GLOBAL_VALUE_OPTIONS.contains(&name) {
            globals.push(word.clone());
            if !word.contains('=') {
                globals.extend(words.next().cloned());
            }
        } else {
            rest.push(word.clone());
        }
    }
    globals.append(&mut rest);
    globals
}

impl Args {
    /// The help of what was asked for; none where a command is to run.
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
            if let Some(word) = next.command_name() {
                name = format!("{name} {word}");
            }
            deepest = next;
        }
        Some(format_help(deepest, &name))
    }
}

/// Reports whether a group of commands was named without one of them.
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
        text = format!("{text}\n\nCommands (`{name} COMMAND --help` tells more):\n{list}");
    }
    text
}
