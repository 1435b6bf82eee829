/*!
The interfaces of callers and of operators.
*/
