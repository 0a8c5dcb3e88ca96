package io.mustardusher.log;

import ch.qos.logback.classic.ClassicConstants;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Keeps the logging library from looking for configuration files and from preparing an output of its own, which takes a
 * tenth of a node's start; {@link LogOutput} says where events go. Tools that name a configuration file keep it.
 */
public final class NoDefaultOutput extends ContextAwareBase implements Configurator {

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        boolean named = System.getProperty(ClassicConstants.CONFIG_FILE_PROPERTY) != null;
        return named ? ExecutionStatus.INVOKE_NEXT_IF_ANY : ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }
}
