"""curlewhall: places and shapes video sessions on media servers with shared links."""
