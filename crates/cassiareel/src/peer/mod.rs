/*!
Messages between nodes: HTTP with rmp-serde.
*/
