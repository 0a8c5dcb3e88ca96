package io.mustardusher.log;

import ch.qos.logback.classic.ClassicConstants;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Prevents Logback from searching for configuration files and from creating its default output, which would take a
 * tenth of a node's startup time. {@link LogOutput} configures the output instead. If a system property names a
 * configuration file, as for the command-line tools, Logback still uses that file.
 */
public final class NoDefaultOutput extends ContextAwareBase implements Configurator {

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        boolean hasConfigFile = System.getProperty(ClassicConstants.CONFIG_FILE_PROPERTY) != null;
        return hasConfigFile ? ExecutionStatus.INVOKE_NEXT_IF_ANY : ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }
}
