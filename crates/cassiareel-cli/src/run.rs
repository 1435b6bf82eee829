//! Dispatch of parsed command lines to the commands.

use std::{fs, time::Duration};

use cassiareel::{
    kernel::{moves::Scope, order::Verdict},
    settings::units::DurationText,
};

use crate::{
    accounts, add_account, add_key, apply_file,
    args::{
        AccountArgs, AccountsCommand, ApplyArgs, Command, GetArgs, KeyArgs, KeysCommand,
        MoveCommand, MoveStartArgs, OrdersCommand, SettingsCommand, ShowArgs,
    },
    change_move, diff_files, duties, explain, explain_logs, get, history, list_keys, list_orders,
    move_history, move_status, query_order, remove_account, remove_key, servers,
    settings::{load_accepted, read_draft},
    settle_order, show, start_move, status, validate, versions, wait_for_revision, wait_move,
    ApplyOptions, Args, Code, Context, Error, KeyOwner, MoveChange, MoveOptions, Report,
    ShowOptions,
};

/// How long `settings apply --wait` waits by default.
const DEFAULT_APPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// How long `move wait` waits by default.
const DEFAULT_MOVE_TIMEOUT: Duration = Duration::from_secs(3600);

/// The default time to load a version on one backend server.
const DEFAULT_LOAD_TIME: Duration = Duration::from_secs(60);

/// The default name of a key.
const DEFAULT_KEY_NAME: &str = "first";

/// Runs a command.
///
/// # Errors
///
/// Returns the error of the command, with a suggested next step.
pub async fn run(args: Args) -> Result<Report, Error> {
    let context = Context::new(&args)?;
    match args.command {
        Some(Command::Settings(args)) => run_settings(&context, args.command).await,
        Some(Command::Accounts(args)) => run_accounts(&context, args.command).await,
        Some(Command::Keys(args)) => run_keys(&context, args.command).await,
        Some(Command::Status(_)) => {
            let nodes = context.nodes()?;
            // The status of nodes is shown even if the object API can't be reached.
            let head = match context.objects() {
                Ok(objects) => load_accepted(objects).await.ok(),
                Err(_) => None,
            };
            Ok(status(&nodes, head.map(|head| head.revision())).await)
        }
        Some(Command::Servers(args)) => {
            let tree = load_accepted(context.objects()?).await?.tree;
            servers(&tree, args.service.as_deref())
        }
        Some(Command::Versions(args)) => {
            let tree = load_accepted(context.objects()?).await?.tree;
            versions(&tree, args.service.as_deref())
        }
        Some(Command::Move(args)) => run_move(&context, args.command).await,
        Some(Command::Orders(args)) => run_orders(&context, args.command).await,
        Some(Command::Explain(args)) if !args.logs.is_empty() => {
            explain_logs(&args.logs, &args.request)
        }
        Some(Command::Explain(args)) => explain(&context.nodes()?, &args.request).await,
        Some(Command::Duties(args)) => duties(&[args.logs, args.files].concat()),
        None => Err(missing_command()),
    }
}

async fn run_settings(
    context: &Context,
    command: Option<SettingsCommand>,
) -> Result<Report, Error> {
    match command {
        Some(SettingsCommand::Validate(args)) => validate(&args.file),
        Some(SettingsCommand::Diff(args)) => {
            let objects = match &args.other {
                Some(_) => None,
                None => Some(context.objects()?),
            };
            diff_files(objects, &args.file, args.other.as_deref()).await
        }
        Some(SettingsCommand::Get(args)) => write_tree(get(context.objects()?).await?, &args),
        Some(SettingsCommand::Apply(args)) => run_apply(context, args).await,
        Some(SettingsCommand::Show(args)) => run_show(context, args).await,
        Some(SettingsCommand::History(args)) => history(context.objects()?, args.revision).await,
        None => Err(missing_command()),
    }
}

/// Writes a tree to the file that was named, if any.
fn write_tree(report: Report, args: &GetArgs) -> Result<Report, Error> {
    let Some(file) = &args.file else {
        return Ok(report);
    };
    fs::write(file, &report.text).map_err(|err| {
        Error::new(
            Code::Refused,
            format!("{file} can't be written: {err}"),
            "name another file",
        )
    })?;
    let text = format!("{file} is written; edit it, then run `cassiareel settings diff {file}`");
    Ok(Report { text, ..report })
}

async fn run_apply(context: &Context, args: ApplyArgs) -> Result<Report, Error> {
    // The options for waiting are checked before anything is changed.
    let nodes = match args.wait {
        true => context.nodes()?,
        false => Vec::new(),
    };
    let limit = parse_duration("--timeout", args.timeout.as_deref(), DEFAULT_APPLY_TIMEOUT)?;
    let options = ApplyOptions {
        base: args.base,
        rebase: args.rebase,
        note: args.note.unwrap_or_default(),
    };
    let objects = context.objects()?;
    let (applied, report) = apply_file(objects, &context.author, &args.file, &options).await?;
    if !args.wait {
        return Ok(report);
    }
    let waited = wait_for_revision(&nodes, applied.revision, limit).await;
    let mut json = report.json;
    json["wait"] = waited.json;
    Ok(Report {
        text: format!("{}\n{}", report.text, waited.text),
        json,
        code: waited.code,
    })
}

async fn run_show(context: &Context, args: ShowArgs) -> Result<Report, Error> {
    let tree = match &args.file {
        Some(file) => read_draft(file)?.tree,
        None => load_accepted(context.objects()?).await?.tree,
    };
    let options = ShowOptions {
        path: args.path.unwrap_or_default(),
        origin: args.origin,
        service: args.service,
        version: args.version,
        data_centre: args.data_centre,
    };
    show(&tree, &options)
}

async fn run_accounts(
    context: &Context,
    command: Option<AccountsCommand>,
) -> Result<Report, Error> {
    let objects = context.objects()?;
    match command {
        Some(AccountsCommand::List(_)) => Ok(accounts(&load_accepted(objects).await?.tree)),
        Some(AccountsCommand::Add(AccountArgs { name, services, .. })) => {
            let services = services.unwrap_or_default();
            let services: Vec<&str> = services
                .split(',')
                .filter(|name| !name.is_empty())
                .collect();
            add_account(objects, &context.author, &name, &services).await
        }
        Some(AccountsCommand::Remove(args)) => {
            remove_account(objects, &context.author, &args.name).await
        }
        None => Err(missing_command()),
    }
}

async fn run_keys(context: &Context, command: Option<KeysCommand>) -> Result<Report, Error> {
    let objects = context.objects()?;
    match command {
        Some(KeysCommand::List(_)) => Ok(list_keys(&load_accepted(objects).await?.tree)),
        Some(KeysCommand::Add(args)) => {
            let name = args.name.as_deref().unwrap_or(DEFAULT_KEY_NAME);
            add_key(objects, &context.author, key_owner(&args)?, name).await
        }
        Some(KeysCommand::Remove(args)) => {
            let name = args.name.as_deref().unwrap_or(DEFAULT_KEY_NAME);
            remove_key(objects, &context.author, key_owner(&args)?, name).await
        }
        None => Err(missing_command()),
    }
}

async fn run_move(context: &Context, command: Option<MoveCommand>) -> Result<Report, Error> {
    let objects = context.objects()?;
    let change = |service: String, change| async move {
        change_move(objects, &service, &context.author, change).await
    };
    match command {
        Some(MoveCommand::Start(args)) => {
            let tree = load_accepted(objects).await?.tree;
            start_move(objects, &tree, &context.author, &move_options(args)?).await
        }
        Some(MoveCommand::Status(args)) => move_status(objects, &args.service).await,
        Some(MoveCommand::Wait(args)) => {
            let limit = parse_duration("--timeout", args.timeout.as_deref(), DEFAULT_MOVE_TIMEOUT)?;
            wait_move(objects, &args.service, limit).await
        }
        Some(MoveCommand::Pause(args)) => change(args.service, MoveChange::Pause).await,
        Some(MoveCommand::Resume(args)) => change(args.service, MoveChange::Resume).await,
        Some(MoveCommand::Cancel(args)) => change(args.service, MoveChange::Cancel).await,
        Some(MoveCommand::History(args)) => move_history(objects, &args.service).await,
        None => Err(missing_command()),
    }
}

/// Returns the options of a new move from the command line.
fn move_options(args: MoveStartArgs) -> Result<MoveOptions, Error> {
    if args.caller.is_some() && args.account.is_none() {
        let message = "a caller is given without its client account";
        return Err(Error::new(Code::Usage, message, "give --account as well"));
    }
    Ok(MoveOptions {
        within: parse_duration("--by", Some(&args.by), Duration::ZERO)?,
        load_time: parse_duration("--load-time", args.load_time.as_deref(), DEFAULT_LOAD_TIME)?,
        service: args.service.into(),
        to: args.to.into(),
        from: args.from.map(Into::into),
        scope: Scope {
            account: args.account.map(Into::into),
            caller: args.caller.map(Into::into),
            route: args.route,
            data_centre: args.data_centre.map(Into::into),
        },
    })
}

/// Parses the duration that an option was given, or returns the default.
fn parse_duration(option: &str, text: Option<&str>, default: Duration) -> Result<Duration, Error> {
    text.map_or(Ok(default), DurationText::parse)
        .map_err(|err| {
            Error::new(
                Code::Usage,
                format!("{option}: {err}"),
                "correct the option and run the command again",
            )
        })
}

async fn run_orders(context: &Context, command: Option<OrdersCommand>) -> Result<Report, Error> {
    let objects = context.shared_objects()?;
    match command {
        Some(OrdersCommand::List(_)) => list_orders(objects).await,
        Some(OrdersCommand::Ask(args)) => {
            let tree = load_accepted(&*objects).await?.tree;
            query_order(objects, &tree, &args.order).await
        }
        Some(OrdersCommand::Settle(args)) => {
            let verdict = match (args.ran, args.not_run) {
                (true, false) => Verdict::Ran,
                (false, true) => Verdict::NotRun,
                _ => {
                    return Err(Error::new(
                        Code::Usage,
                        "the outcome of the order is missing or ambiguous",
                        "give either --ran or --not-run, after checking the service's records",
                    ))
                }
            };
            let tree = load_accepted(&*objects).await?.tree;
            settle_order(objects, &tree, &args.order, verdict).await
        }
        None => Err(missing_command()),
    }
}

/// Returns the owner of the key that the command line names.
fn key_owner(args: &KeyArgs) -> Result<KeyOwner<'_>, Error> {
    let KeyArgs {
        account,
        caller,
        operator,
        ..
    } = args;
    match (account.as_deref(), caller.as_deref(), operator.as_deref()) {
        (None, None, Some(name)) => Ok(KeyOwner::Operator(name)),
        (Some(account), Some(caller), None) => Ok(KeyOwner::Caller { account, caller }),
        _ => Err(Error::new(
            Code::Usage,
            "the owner of the key is missing or ambiguous",
            "give either ACCOUNT CALLER or --operator NAME",
        )),
    }
}

/// Returns the error for a command line without a command.
fn missing_command() -> Error {
    Error::new(
        Code::Usage,
        "no command was given",
        "`cassiareel --help` lists the commands",
    )
}
