"""HTTP/1.1, the application's side and the nodes'."""
