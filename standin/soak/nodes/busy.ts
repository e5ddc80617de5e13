/* Keeps a processor busy until its standard input closes or the given time in milliseconds is over. */
const endsAt = Date.now() + Number(process.argv[2] ?? 0);
while (Date.now() < endsAt);
