package io.mustardusher.log;

import java.time.Instant;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Layout;
import ch.qos.logback.core.LayoutBase;
import com.fasterxml.jackson.core.io.JsonStringEncoder;

/** Formats each event as one line. Control characters are escaped, so that an event never spans several lines. */
public final class LineLayout extends LayoutBase<ILoggingEvent> {

    /** Message with the prefix that the message logger puts before the text: project code and event number. */
    private static final Pattern NUMBERED = Pattern.compile("MUSH(\\d{4}): (.*)", Pattern.DOTALL);

    private final boolean json;

    private LineLayout(boolean json) {
        this.json = json;
    }

    /**
     * Creates and starts a layout.
     *
     * @param format {@code json} for a JSON object per line; otherwise lines are text
     * @return the layout
     */
    public static Layout<ILoggingEvent> of(String format) {
        LineLayout layout = new LineLayout("json".equals(format));
        layout.start();
        return layout;
    }

    @Override
    public String doLayout(ILoggingEvent event) {
        Matcher numbered = NUMBERED.matcher(event.getFormattedMessage());
        boolean matches = numbered.matches();
        String number = matches ? numbered.group(1) : "0000";
        String text = matches ? numbered.group(2) : event.getFormattedMessage();
        String escaped = new String(JsonStringEncoder.getInstance().quoteAsString(text));
        String time = Instant.ofEpochMilli(event.getTimeStamp()).toString();
        if (!json) {
            return time + " " + event.getLevel() + " MUSH" + number + " " + escaped + "\n";
        }
        return "{\"time\":\"" + time + "\",\"level\":\"" + event.getLevel() + "\",\"event\":" + Integer.parseInt(number)
                + ",\"logger\":\"" + event.getLoggerName() + "\",\"text\":\"" + escaped + "\"}\n";
    }
}
