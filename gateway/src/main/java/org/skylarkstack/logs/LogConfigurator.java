package org.skylarkstack.logs;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Configures logging in code, because reading a configuration file would take a large
 * part of the time that a daemon needs to start.
 */
public final class LogConfigurator extends ContextAwareBase implements Configurator {

	@Override
	public ExecutionStatus configure(LoggerContext context) {
		BoundedAppender appender = new BoundedAppender(
				new PrintStream(new FileOutputStream(FileDescriptor.out), false));
		appender.setContext(context);
		appender.start();
		Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
		root.setLevel(Level.WARN);
		root.addAppender(appender);
		context.getLogger("org.skylarkstack").setLevel(Level.INFO);
		return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
	}

}
