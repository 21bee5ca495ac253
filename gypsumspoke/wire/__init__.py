"""Messages between processes: thrift structs, frames and connections."""
