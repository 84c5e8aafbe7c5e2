"""The two kinds of node, made of the machines, and the daemon that hosts them."""
