/*!
The command line for operators of cassiareel.

Settings, client accounts and keys are changed through the platform's object API, under the same
checks and preconditions for every operator; nodes are only queried. Each command is a function that
takes the object API or the nodes and returns a [`Report`], which prints as text or JSON.
*/

mod accounts;
mod args;
mod context;
mod duties;
mod duty_term;
mod error;
mod explain;
mod explain_logs;
mod keys;
mod moves;
mod nodes;
mod orders;
mod placements;
mod report;
mod run;
mod settings;
mod status;
mod usage_window;
mod wait;

pub use accounts::{accounts, add_account, remove_account};
pub use args::{globals_first, Args};
pub use context::Context;
pub use duties::duties;
pub use error::{Code, Error};
pub use explain::{describe_lines, explain, DecisionLine};
pub use explain_logs::explain_logs;
pub use keys::{add_key, list_keys, remove_key, KeyOwner};
pub use moves::{
    change_move, move_history, move_status, start_move, wait_move, MoveChange, MoveOptions,
};
pub use nodes::NodeClient;
pub use orders::{list_orders, query_order, settle_order};
pub use placements::{servers, versions};
pub use report::Report;
pub use run::run;
pub use settings::{
    apply_file, diff_files, get, history, show, validate, ApplyOptions, ShowOptions,
};
pub use status::status;
pub use wait::wait_for_revision;
