"""What a target takes, who holds its connections, and which one a read goes to."""
