/*!
Moves between versions, placements and orders to engines, under lease and fencing number.
*/
