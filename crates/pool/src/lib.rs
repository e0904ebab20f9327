//! Shares one scheduler per pool of endpoints among the VMs of a cell.
